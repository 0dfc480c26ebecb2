#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. They are Python programs of the standard library alone,
# in review/standins2; this compiles them with the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 1; }
.venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
