"""Reads batches, feeds the instances, writes replies."""

from __future__ import annotations

import sys
import traceback
from typing import TextIO

from switchhub.decision.interface import ConnectionAdopted, RequestArrived, Settings
from switchhub.decision.placement import Balancer
from switchhub.wirehost.codec import (
    END_OF_BATCH,
    END_OF_REPLY,
    Boot,
    Decoder,
    Halt,
    Message,
    encode,
    encode_error,
)
from switchhub.wirehost.errors import WireError


class Host:
    """Many balancers in one process; they share nothing."""

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._balancers: dict[str, Balancer | None] = {}
        self._settings: dict[str, Settings] = {}

    def run_batch(self, now: float, messages: list[tuple[int, Message]]) -> list[str]:
        """Carry one batch through; the reply's lines, in the order decided."""
        reply: list[str] = []
        balancers = self._balancers
        for line, (name, event) in messages:
            if isinstance(event, Halt):
                balancers.pop(name, None)
                continue
            try:
                if isinstance(event, Boot):
                    self._settings[name] = event.settings
                    balancer = balancers[name] = Balancer(event.settings, event.seed)
                    actions = balancer.start(now)
                else:
                    try:
                        current = balancers[name]
                    except KeyError:
                        raise _located(WireError("event", "I", f"unknown instance {name!r}"), line) from None
                    if current is None:
                        continue  # it has declared itself broken
                    if isinstance(event, RequestArrived | ConnectionAdopted):
                        self._check_request(name, event, line)
                    actions = current.handle(now, event)
            except WireError:
                raise
            except Exception as error:
                traceback.print_exc(file=self._errors)
                balancers[name] = None
                reply.append(encode_error(name, error))
                continue
            for action in actions:
                reply.append(encode(name, action))
        return reply

    def _check_request(self, name: str, event: RequestArrived | ConnectionAdopted, line: int) -> None:
        """A request may only name classes and tenants that its instance was told of."""
        message = "demand" if isinstance(event, RequestArrived) else "adopted"
        settings, request = self._settings[name], event.request
        if request.class_index >= len(settings.classes):
            raise _located(WireError(message, "Class", f"no such class: {request.class_index}"), line)
        if settings.tenants and request.tenant >= len(settings.tenants):
            raise _located(WireError(message, "UserGroup", f"no such tenant: {request.tenant}"), line)


def _located(error: WireError, line: int) -> WireError:
    error.line = line
    return error


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Serve until the input ends; the exit status."""
    decoder, host = Decoder(), Host(errors)
    line_number = 0
    now: float | None = None
    messages: list[tuple[int, Message]] = []
    try:
        for raw in source:
            line_number += 1
            line = raw.rstrip("\r\n")
            if now is None:
                now = decoder.frame(line)
            elif line == END_OF_BATCH:
                decoder.end()
                reply = host.run_batch(now, messages)
                reply.append(END_OF_REPLY)
                sink.write("\n".join(reply) + "\n")
                sink.flush()
                now, messages = None, []
            else:
                message = decoder.decode(line)
                if message is not None:
                    messages.append((line_number, message))
        if now is not None:
            raise WireError("frame", END_OF_BATCH, "the input ended inside a batch")
    except WireError as error:
        error.line = error.line or line_number
        print(f"switchhub: {error}", file=errors)
        return 2
    except UnicodeDecodeError as error:
        print(
            f"switchhub: line {line_number + 1}: message (undecoded): field text: {error.reason}", file=errors
        )
        return 2
    return 0


def main() -> int:
    """Serve standard input and output."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, sys.stderr)
