#!/usr/bin/env bash
# Run once, after the build of the deploy file. The stand-ins are Python scripts of the standard library and need no
# build. Case 2 starts balancers with an operator file, for which the README asks for the packages installed here.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import msgspec' 2>/dev/null; then
    .venv/bin/pip -q --disable-pip-version-check install -r requirements-peers.txt ||
        echo "review/2 can't run: it needs requirements-peers.txt; the other cases need nothing more" >&2
fi
