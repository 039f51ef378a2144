"""A call of the operators' staff in, an answer out.

Owns: the table of calls. Must never: do I/O, wait, or keep what the lifecycle keeps. `/healthcheck` and
`/stats` change nothing, however often they are called; a second `fail` or `ok` is a yes that changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

Page = Callable[[str, str], tuple[int, str]]


class Managed(Protocol):
    """What is asked of a balancer here."""

    @property
    def pages(self) -> Mapping[str, Page]:
        """Further paths: method and query in, status and text out. `GET` changes nothing."""

    def healthy(self) -> bool:
        """Whether this process is ready to serve."""

    def condition(self) -> str:
        """What it is, in a word or two."""

    def figures(self) -> str:
        """The figures, in the operators' form."""

    def drain(self) -> None:
        """Turn new clients away and move those that stand; a second call changes nothing."""

    def restore(self) -> bool:
        """Back to work; whether that can be."""


class Answer(NamedTuple):
    """What the caller hears."""

    status: int
    text: str
    allow: str = ""


_Call = Callable[[Managed], Answer]


def _health(node: Managed) -> Answer:
    return Answer(200 if node.healthy() else 503, f"{node.condition()}\n")


def _stats(node: Managed) -> Answer:
    return Answer(200, node.figures())


def _fail(node: Managed) -> Answer:
    node.drain()
    return Answer(200, f"{node.condition()}\n")


def _ok(node: Managed) -> Answer:
    if node.restore():
        return Answer(200, f"{node.condition()}\n")
    return Answer(409, f"can't go back to work: {node.condition()}\n")


CALLS: dict[str, dict[str, _Call]] = {
    "/healthcheck": {"GET": _health},
    "/stats": {"GET": _stats},
    "/healthcheck/fail": {"PUT": _fail},
    "/healthcheck/ok": {"PUT": _ok},
}


def answer(node: Managed, method: str, target: str) -> Answer:
    """What becomes of this call; a query behind the path is passed over."""
    path, _, query = target.partition("?")
    calls = CALLS.get(path)
    if calls is None and path in node.pages:
        return Answer(*node.pages[path](method, query))
    if calls is None:
        return Answer(404, f"no such path; there are {', '.join([*CALLS, *node.pages])}\n")
    call = calls.get(method)
    if call is None:
        allow = ", ".join(calls)
        return Answer(405, f"this path takes {allow}\n", allow)
    return call(node)
