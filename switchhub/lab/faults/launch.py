"""Runs the balancer so that it stops itself during a handover: `python -m switchhub.lab.faults.launch`.

The environment variable `LAB_STOP_AT` says where: `send:MESSAGE` or `hear:MESSAGE`, with a message type of
`handover/messages.py`, sends SIGSTOP to this process right after it has sent or received the first message of
that type. `refuse:copy` simulates a platform on which no process may copy a socket of another process.

Wraps the handover's channel in this process and nothing else: apart from that one stop, or from the refused
copy, the balancer runs unchanged.
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
    """Install the wrapper, then run the balancer."""
    mode, _, message_type = os.environ["LAB_STOP_AT"].partition(":")
    send, receive = Channel.send, Channel.receive
    pending = [message_type]  # emptied by the one stop

    def stop_after(data: bytes) -> None:
        if pending and messages.decode_message(data)[0] == pending[0]:
            pending.clear()
            os.kill(os.getpid(), signal.SIGSTOP)

    def send_and_stop(self: Channel, message: bytes, *sockets: socket.socket) -> None:
        send(self, message, *sockets)
        stop_after(message)

    async def receive_and_stop(self: Channel) -> tuple[bytes, list[socket.socket]] | None:
        received = await receive(self)
        if received is not None:
            stop_after(received[0])
        return received

    def refuse_copy(process_fd: int, descriptor: int) -> socket.socket:
        raise PermissionError(1, "copying a socket of another process is refused by LAB_STOP_AT=refuse:copy")

    if mode == "refuse":
        socket_recovery._copy_descriptor = refuse_copy
    elif mode == "send":
        Channel.send = send_and_stop  # type: ignore[method-assign]
    else:
        Channel.receive = receive_and_stop  # type: ignore[method-assign]
    sys.argv = ["switchhub"]
    runpy.run_module("switchhub", run_name="__main__", alter_sys=True)


main()
