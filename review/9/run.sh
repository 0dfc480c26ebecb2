#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review/standins2 exec .venv/bin/python review/9/case.py
