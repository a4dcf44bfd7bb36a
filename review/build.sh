#!/bin/sh
# Builds the stand-ins that the cases start. They are Python and use the packages of the deploy file's `build`.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
