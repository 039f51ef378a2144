"""Reads batches of messages, passes their events to the balancer instances, and writes the replies."""

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
    InstanceEvent,
    encode,
    encode_error,
)
from switchhub.wirehost.errors import WireError


class BalancerHost:
    """Many balancer instances in one process, which share no state.

    An instance whose decision code raises an exception is reported by an `internal_error` line, and gets no
    events until it is started again; the others go on.
    """

    def __init__(self, error_stream: TextIO) -> None:
        self._error_stream = error_stream
        self._balancers: dict[str, Balancer | None] = {}  # None after an exception in its decision code
        self._settings: dict[str, Settings] = {}

    def run_batch(self, now: float, numbered_events: list[tuple[int, InstanceEvent]]) -> list[str]:
        """Handle the events of one batch, each with its line number; return the reply, one line an action.

        `now` is the batch's clock in milliseconds. Raises `WireError` if an event names an unknown instance,
        class or tenant. The traceback of any other exception goes to the error stream.
        """
        reply_lines: list[str] = []
        balancers = self._balancers
        for line_number, (instance, event) in numbered_events:
            if isinstance(event, Halt):
                balancers.pop(instance, None)  # no error if there is no such instance
                continue
            try:
                if isinstance(event, Boot):
                    self._settings[instance] = event.settings
                    new_balancer = balancers[instance] = Balancer(event.settings, event.seed)
                    actions = new_balancer.start(now)
                else:
                    try:
                        balancer = balancers[instance]
                    except KeyError:
                        raise _with_line_number(
                            WireError("event", "I", f"unknown instance {instance!r}"), line_number
                        ) from None
                    if balancer is None:
                        continue  # an exception was reported earlier, and the instance was not started again
                    if isinstance(event, RequestArrived | ConnectionAdopted):
                        self._check_request(instance, event, line_number)
                    actions = balancer.handle(now, event)
            except WireError:
                raise
            except Exception as error:
                traceback.print_exc(file=self._error_stream)
                balancers[instance] = None
                reply_lines.append(encode_error(instance, error))
                continue
            for action in actions:
                reply_lines.append(encode(instance, action))
        return reply_lines

    def _check_request(
        self, instance: str, event: RequestArrived | ConnectionAdopted, line_number: int
    ) -> None:
        """Raise `WireError` unless the instance's settings have the request's class and tenant.

        Without any tenants in the settings every tenant is accepted.
        """
        message_name = "demand" if isinstance(event, RequestArrived) else "adopted"
        settings, request = self._settings[instance], event.request
        if request.class_index >= len(settings.classes):
            raise _with_line_number(
                WireError(message_name, "Class", f"unknown class index {request.class_index}"), line_number
            )
        if settings.tenants and request.tenant >= len(settings.tenants):
            raise _with_line_number(
                WireError(message_name, "UserGroup", f"unknown tenant index {request.tenant}"), line_number
            )


def _with_line_number(error: WireError, line_number: int) -> WireError:
    error.line = line_number
    return error


def serve(input_stream: TextIO, output_stream: TextIO, error_stream: TextIO) -> int:
    """Serve batches until the input ends; return the exit status.

    The status is 0, or 2 after one line on the error stream if the input is malformed, not UTF-8 or ends
    inside a batch. That batch gets no reply.
    """
    decoder, host = Decoder(), BalancerHost(error_stream)
    line_number = 0
    now: float | None = None  # milliseconds, clock of the current batch; None between batches
    numbered_events: list[tuple[int, InstanceEvent]] = []
    try:
        for raw_line in input_stream:
            line_number += 1
            line = raw_line.rstrip("\r\n")
            if now is None:
                now = decoder.decode_frame(line)
            elif line == END_OF_BATCH:
                decoder.check_batch_end()
                reply_lines = host.run_batch(now, numbered_events)
                reply_lines.append(END_OF_REPLY)
                output_stream.write("\n".join(reply_lines) + "\n")
                output_stream.flush()
                now, numbered_events = None, []
            else:
                instance_event = decoder.decode(line)
                if instance_event is not None:
                    numbered_events.append((line_number, instance_event))
        if now is not None:
            raise WireError("frame", END_OF_BATCH, "the input ended inside a batch")
    except WireError as error:
        error.line = error.line or line_number
        print(f"switchhub: {error}", file=error_stream)
        return 2
    except UnicodeDecodeError as error:
        print(
            f"switchhub: line {line_number + 1}: message (undecoded): field text: {error.reason}",
            file=error_stream,
        )
        return 2
    return 0


def main() -> int:
    """Serve standard input and output; return the exit status."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, sys.stderr)
