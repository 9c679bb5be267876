#!/usr/bin/env bash
# Checks what the scripts of the cases need. The stand-ins are Python and are not compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
python3 -c 'compile(open("review/standin.py", encoding="utf-8").read(), "standin.py", "exec")'
test -x target/src/kingcuplink/kingcuplinkd || {
    echo "run the build command of deploy/system.toml first" >&2
    exit 1
}
