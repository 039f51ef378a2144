"""What a duty does outside of itself, for the rig: `python -m switchhub.lab.faults.effects HOST:PORT WHO`.

Owns: one datagram in 20 ms with who sends it, its lease and its token, as long as its parent lives. Must
never: look at the lease itself: whoever runs it has to end it.
"""

from __future__ import annotations

import os
import socket
import sys
import time
from itertools import count

EVERY = 0.02  # seconds
MOST = 30_000  # effects at all


def main() -> None:
    """Act until ended."""
    host, _, port = sys.argv[1].rpartition(":")
    lease, token, parent = os.environ["SWITCHHUB_LEASE"], os.environ["SWITCHHUB_TOKEN"], os.getppid()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in count():
            if number > MOST or os.getppid() != parent:
                return
            sock.sendto(f"{lease} {token} {sys.argv[2]}".encode(), (host, int(port)))
            time.sleep(EVERY)


main()
