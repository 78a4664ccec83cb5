#!/bin/sh
# Builds what the cases 6 to 10 start besides the router: their stand-ins, which are Python scripts without dependencies.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "the build of deploy/balancer.toml comes first" >&2; exit 2; }
for folder in review/lib2 review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$folder" ] || .venv/bin/python -m compileall -q "$folder" || exit 1
done
