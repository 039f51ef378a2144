"""The clients' address of a process that answers nobody: its own listening socket, or the kernel's choice.

Owns: nothing; what it returns is the caller's. Must never: take a socket that is not the clients' address, or
change anything at a process that answers.

Both ways need no special right: `pidfd_getfd(2)` copies a descriptor of a process of the same user, where the
platform's guards (Yama, seccomp) let it; a classic BPF program attached to a group of sockets that share one
address (`SO_ATTACH_REUSEPORT_CBPF`, socket(7)) returns which of them gets a new client.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import socket
import struct

from loguru import logger

_PIDFD_GETFD = 438  # its number is the same on every architecture
_ATTACH_REUSEPORT_CBPF = 51
_RETURN = 0x06  # BPF_RET | BPF_K
_LISTENING = "0A"  # in /proc/net/tcp


def copy_listening_socket(pid: int, listen: tuple[str, int]) -> socket.socket | None:
    """A copy of that process's listening socket at this address, if it has one and the platform lets us."""
    if pid <= 0:
        return None
    try:
        process = os.pidfd_open(pid)
    except (AttributeError, OSError) as error:
        logger.info("its sockets can't be reached: {}", error)
        return None
    try:
        for name in sorted(os.listdir(f"/proc/{pid}/fd"), key=int):
            if os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:"):
                sock = _copy_descriptor(process, int(name))
                if _is_listening(sock, listen):
                    sock.setblocking(False)
                    return sock
                sock.close()
    except OSError as error:
        logger.info("its sockets can't be copied: {}", error)
    finally:
        os.close(process)
    return None


def _copy_descriptor(process: int, number: int) -> socket.socket:
    libc = ctypes.CDLL(None, use_errno=True)
    copied = libc.syscall(_PIDFD_GETFD, process, number, 0)
    if copied < 0:
        raise OSError(ctypes.get_errno(), "pidfd_getfd")
    return socket.socket(fileno=copied)


def _is_listening(sock: socket.socket, listen: tuple[str, int]) -> bool:
    with contextlib.suppress(OSError):
        accepts = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        return sock.family == socket.AF_INET and bool(accepts) and sock.getsockname() == listen
    return False


def direct_new_connections(sock: socket.socket) -> None:
    """Have every new client given to this socket, the last to listen at its address, where that can be."""
    host, port = sock.getsockname()
    local = f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{port:04X}"
    try:
        with open("/proc/net/tcp", encoding="ascii") as table:
            rows = [line.split()[1:4] for line in table]
        index = sum(row[0] == local and row[2] == _LISTENING for row in rows) - 1
        program = ctypes.create_string_buffer(struct.pack("=HBBI", _RETURN, 0, 0, max(0, index)))
        sock.setsockopt(
            socket.SOL_SOCKET, _ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, ctypes.addressof(program))
        )
    except (OSError, IndexError) as error:
        logger.info("new clients can't be led here: {}", error)
