#!/bin/bash
# Builds the stand-ins of all cases: they are Python files, which only have to compile.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
