#!/bin/sh
# Plays the case. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python review/6/case.py
