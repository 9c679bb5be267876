#!/usr/bin/env bash
# Prepares the stand-ins that the scripts in review/6 and later start. They are Python programs of this folder and need
# no build; this only checks that the interpreter can read them. The entry VMs are built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
for path in [pathlib.Path('fleet.py'), *sorted(pathlib.Path('.').glob('[0-9]*/run.py'))]:
    ast.parse(path.read_text(encoding='utf-8'), str(path))
END
test -x ../target/src/kingcuplink/kingcuplinkd || {
    echo "build-2.sh: target/src/kingcuplink/kingcuplinkd is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
