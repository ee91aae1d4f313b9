#!/bin/sh
# The stand-ins of the cases are Python programs that need nothing to be built beyond the deploy file's `build`.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/rig.py review/*/play.py
