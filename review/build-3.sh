#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the program of the deploy file: nothing is compiled, since the
# stand-ins are Python of the standard library; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - kit3/standin.py 1[1-5]/run.py <<'EOF'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
EOF
