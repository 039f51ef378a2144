"""Simulates the work that a lease protects: `python -m switchhub.lab.faults.effects HOST:PORT SENDER`.

Sends the datagram `LEASE TOKEN SENDER` to the lab every 20 ms for as long as its parent process lives. Lease
and fencing token come from the environment. It does not check the lease: `lease hold`, which runs it, must
end it when the lease is lost.
"""

from __future__ import annotations

import os
import socket
import sys
import time
from itertools import count

SEND_INTERVAL_S = 0.02
MAX_DATAGRAMS = 30_000  # ends the process even if nothing else does


def main() -> None:
    """Send until the parent process ends or the datagrams are used up."""
    host, _, port = sys.argv[1].rpartition(":")
    lease, token, parent = os.environ["SWITCHHUB_LEASE"], os.environ["SWITCHHUB_TOKEN"], os.getppid()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in count():
            if number > MAX_DATAGRAMS or os.getppid() != parent:
                return
            sock.sendto(f"{lease} {token} {sys.argv[2]}".encode(), (host, int(port)))
            time.sleep(SEND_INTERVAL_S)


main()
