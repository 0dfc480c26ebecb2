#!/bin/sh
# The stand-ins are Python of the standard library: there is nothing to build but their byte code.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
