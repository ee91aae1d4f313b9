#!/usr/bin/env bash
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. record.txt gets what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "the build of the deploy file has not run"; exit 2; }
PYTHONPATH=review exec .venv/bin/python review/10/case.py
