"""Entry point of `python -m switchhub.wirehost`: serves standard input and output."""

import sys

from switchhub.wirehost.host import main

if __name__ == "__main__":
    sys.exit(main())
