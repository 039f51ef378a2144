"""The program, stopped in the middle of a step: `python -m switchhub.lab.faults.launch`.

Owns: one wrapper around the hand-over's channel, in this process only. Must never: change what the program
does; it only sends SIGSTOP to itself when the word in `LAB_STOP_AT` has just passed, once.

`LAB_STOP_AT` is `send:WORD` or `hear:WORD`, with the words of `handover/messages.py`; or `refuse:copy`, which
makes it a platform that lets no process copy another's socket.
"""

from __future__ import annotations

import os
import runpy
import signal
import socket
import sys

from switchhub.handover import messages, socket_recovery
from switchhub.handover.channel import Channel


def main() -> None:
    """Wrap, then start."""
    way, _, word = os.environ["LAB_STOP_AT"].partition(":")
    send, receive = Channel.send, Channel.receive
    left = [word]

    def stop(data: bytes) -> None:
        if left and messages.decode_message(data)[0] == left[0]:
            left.clear()
            os.kill(os.getpid(), signal.SIGSTOP)

    def sends(self: Channel, message: bytes, *sockets: socket.socket) -> None:
        send(self, message, *sockets)
        stop(message)

    async def receives(self: Channel) -> tuple[bytes, list[socket.socket]] | None:
        received = await receive(self)
        if received is not None:
            stop(received[0])
        return received

    def refuse(process_fd: int, descriptor: int) -> socket.socket:
        raise PermissionError(1, "refused here")

    if way == "refuse":
        socket_recovery._copy_descriptor = refuse
    elif way == "send":
        Channel.send = sends  # type: ignore[method-assign]
    else:
        Channel.receive = receives  # type: ignore[method-assign]
    sys.argv = ["switchhub"]
    runpy.run_module("switchhub", run_name="__main__", alter_sys=True)


main()
