"""Routes a management request to its handler and returns the response.

Responsible for the table of endpoints. Does no I/O, does not wait, and keeps no state: the phase is the
lifecycle's. `/healthcheck` and `/stats` change nothing, however often they are requested; a repeated `fail`
or `ok` succeeds and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

PageHandler = Callable[[str, str], tuple[int, str]]


class ManagedBalancer(Protocol):
    """What the endpoints need from a balancer."""

    @property
    def pages(self) -> Mapping[str, PageHandler]:
        """Handlers of further paths: method and query to status and text. A `GET` must change nothing."""

    def healthy(self) -> bool:
        """Whether this process is ready to serve."""

    def phase_name(self) -> str:
        """Name of the current phase."""

    def metrics(self) -> str:
        """The metrics, as the operators' monitoring reads them."""

    def drain(self) -> None:
        """Start a drain: turn new clients away and move connections. A repeated call changes nothing."""

    def restore(self) -> bool:
        """Cancel a drain. Return False if the process cannot go back to serving."""


class Response(NamedTuple):
    """HTTP response: status, body text, and the allowed methods if the method was not allowed."""

    status: int
    text: str
    allow: str = ""


_Handler = Callable[[ManagedBalancer], Response]


def _health(balancer: ManagedBalancer) -> Response:
    return Response(200 if balancer.healthy() else 503, f"{balancer.phase_name()}\n")


def _stats(balancer: ManagedBalancer) -> Response:
    return Response(200, balancer.metrics())


def _fail(balancer: ManagedBalancer) -> Response:
    balancer.drain()
    return Response(200, f"{balancer.phase_name()}\n")


def _ok(balancer: ManagedBalancer) -> Response:
    if balancer.restore():
        return Response(200, f"{balancer.phase_name()}\n")
    return Response(409, f"can't go back to serving: {balancer.phase_name()}\n")


ENDPOINTS: dict[str, dict[str, _Handler]] = {
    "/healthcheck": {"GET": _health},
    "/stats": {"GET": _stats},
    "/healthcheck/fail": {"PUT": _fail},
    "/healthcheck/ok": {"PUT": _ok},
}


def handle_request(balancer: ManagedBalancer, method: str, target: str) -> Response:
    """Return the response to a request; the endpoints of this module ignore the query in `target`."""
    path, _, query = target.partition("?")
    handlers = ENDPOINTS.get(path)
    if handlers is None and path in balancer.pages:
        return Response(*balancer.pages[path](method, query))
    if handlers is None:
        return Response(404, f"no such path; there are {', '.join([*ENDPOINTS, *balancer.pages])}\n")
    handler = handlers.get(method)
    if handler is None:
        allow = ", ".join(handlers)
        return Response(405, f"this path takes {allow}\n", allow)
    return handler(balancer)
