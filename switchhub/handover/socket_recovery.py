"""Recovers the clients' address from a process that does not answer.

Either its listening socket is copied from it, or this process binds the address as well and has the kernel
give all new connections to its own socket.

Owns: nothing; what it returns belongs to the caller. Must never: take a socket that is not the clients'
address, or change anything at a process that answers.

Neither way needs privileges. `pidfd_getfd(2)` copies a descriptor from a process of the same user, where the
platform's security modules (Yama, seccomp) allow it. A classic BPF program attached to the group of sockets
that share an address (`SO_ATTACH_REUSEPORT_CBPF`, socket(7)) returns which of them gets a new connection.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import socket
import struct

from loguru import logger

_PIDFD_GETFD = 438  # the system call's number, the same on every architecture
_ATTACH_REUSEPORT_CBPF = 51
_BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K
_TCP_LISTEN = "0A"  # the state in /proc/net/tcp


def copy_listening_socket(pid: int, listen: tuple[str, int]) -> socket.socket | None:
    """Return a non-blocking copy of the socket on which that process listens at this address.

    Returns nothing if the process has no such socket, or if the platform does not allow the copy."""
    if pid <= 0:
        return None
    try:
        process_fd = os.pidfd_open(pid)
    except (AttributeError, OSError) as error:
        logger.info("can't open the old process to copy its listening socket: {}", error)
        return None
    try:
        for name in sorted(os.listdir(f"/proc/{pid}/fd"), key=int):
            if os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:"):
                sock = _copy_descriptor(process_fd, int(name))
                if _listens_at(sock, listen):
                    sock.setblocking(False)
                    return sock
                sock.close()
    except OSError as error:
        logger.info("can't copy the old process's listening socket: {}", error)
    finally:
        os.close(process_fd)
    return None


def _copy_descriptor(process_fd: int, descriptor: int) -> socket.socket:
    libc = ctypes.CDLL(None, use_errno=True)
    copied = libc.syscall(_PIDFD_GETFD, process_fd, descriptor, 0)
    if copied < 0:
        raise OSError(ctypes.get_errno(), "pidfd_getfd")
    return socket.socket(fileno=copied)


def _listens_at(sock: socket.socket, listen: tuple[str, int]) -> bool:
    with contextlib.suppress(OSError):
        is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        return sock.family == socket.AF_INET and bool(is_listening) and sock.getsockname() == listen
    return False


def direct_new_connections(sock: socket.socket) -> None:
    """Have the kernel give every new connection to this socket, where the platform allows it.

    The socket must be the last one that began to listen at its address."""
    host, port = sock.getsockname()
    local_address = f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{port:04X}"
    try:
        with open("/proc/net/tcp", encoding="ascii") as table:
            rows = [line.split()[1:4] for line in table]
        index = sum(row[0] == local_address and row[2] == _TCP_LISTEN for row in rows) - 1
        program = ctypes.create_string_buffer(struct.pack("=HBBI", _BPF_RETURN_CONSTANT, 0, 0, max(0, index)))
        sock.setsockopt(
            socket.SOL_SOCKET, _ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, ctypes.addressof(program))
        )
    except (OSError, IndexError) as error:
        logger.info("can't direct new connections to this process's socket: {}", error)
