#!/bin/sh
# Checks the stand-ins of the cases. They are written in Python's standard
# library, so there is nothing to compile; the programs come from the build of
# the deploy file.
set -e
cd "$(dirname "$0")"
exec python3 - common/deployment.py [0-9]/case.py <<'END'
import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
