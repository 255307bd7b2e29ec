#!/bin/sh
# Builds what the cases of REPORT-2.md start besides the program of the deploy file: their stand-ins are Python modules.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile stage-2/stage.py [0-9]*/case.py
