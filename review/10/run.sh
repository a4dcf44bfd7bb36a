#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python review/10/case.py
case $? in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
