#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the proxy itself, which the deploy file's build makes.
# Their stand-ins are Python and use its standard library alone: all there is to build is their byte code.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig_2.py review/{6,7,8,9,10}/case.py
