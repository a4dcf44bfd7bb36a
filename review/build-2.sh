#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the line `build` of deploy/balancer.toml. It needs no network:
# the stand-ins use what that line has installed.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2
for case in review/6 review/7 review/8 review/9 review/10; do
    if test -f "$case/case.py"; then .venv/bin/python -m compileall -q "$case/case.py"; fi
done
.venv/bin/python -c "import msgspec"
