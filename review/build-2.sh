#!/bin/sh
# Builds what the cases from 6 on need, after the build of the deploy file: the stand-ins are Python and only
# have to compile; case 9 starts balancers with an operator file, which need the project's declared packages.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "
import ast, pathlib
for path in pathlib.Path('review').glob('**/*.py'):
    ast.parse(path.read_text())
"
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/pip -q install -r requirements-peers.txt
