"""A call of the operators' staff in, an answer out.

Owns: the table of calls. Must never: do I/O, wait, or keep what the lifecycle keeps. `/healthcheck` and
`/stats` change nothing, however often they are called; a second `fail` or `ok` is a yes that changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

PageHandler = Callable[[str, str], tuple[int, str]]


class ManagedBalancer(Protocol):
    """What is asked of a balancer here."""

    @property
    def pages(self) -> Mapping[str, PageHandler]:
        """Further paths: method and query in, status and text out. `GET` changes nothing."""

    def healthy(self) -> bool:
        """Whether this process is ready to serve."""

    def phase_name(self) -> str:
        """What it is, in a word or two."""

    def metrics(self) -> str:
        """The figures, in the operators' form."""

    def drain(self) -> None:
        """Turn new clients away and move those that stand; a second call changes nothing."""

    def restore(self) -> bool:
        """Back to work; whether that can be."""


class Response(NamedTuple):
    """What the caller hears."""

    status: int
    text: str
    allow: str = ""


_Call = Callable[[ManagedBalancer], Response]


def _health(node: ManagedBalancer) -> Response:
    return Response(200 if node.healthy() else 503, f"{node.phase_name()}\n")


def _stats(node: ManagedBalancer) -> Response:
    return Response(200, node.metrics())


def _fail(node: ManagedBalancer) -> Response:
    node.drain()
    return Response(200, f"{node.phase_name()}\n")


def _ok(node: ManagedBalancer) -> Response:
    if node.restore():
        return Response(200, f"{node.phase_name()}\n")
    return Response(409, f"can't go back to work: {node.phase_name()}\n")


ENDPOINTS: dict[str, dict[str, _Call]] = {
    "/healthcheck": {"GET": _health},
    "/stats": {"GET": _stats},
    "/healthcheck/fail": {"PUT": _fail},
    "/healthcheck/ok": {"PUT": _ok},
}


def handle_request(node: ManagedBalancer, method: str, target: str) -> Response:
    """What becomes of this call; a query behind the path is passed over."""
    path, _, query = target.partition("?")
    calls = ENDPOINTS.get(path)
    if calls is None and path in node.pages:
        return Response(*node.pages[path](method, query))
    if calls is None:
        return Response(404, f"no such path; there are {', '.join([*ENDPOINTS, *node.pages])}\n")
    call = calls.get(method)
    if call is None:
        allow = ", ".join(calls)
        return Response(405, f"this path takes {allow}\n", allow)
    return call(node)
