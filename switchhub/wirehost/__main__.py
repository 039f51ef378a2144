"""`python -m switchhub.wirehost`."""

import sys

from switchhub.wirehost.loop import main

if __name__ == "__main__":
    sys.exit(main())
