#!/bin/bash
# Builds what the scripts of the second review (review/6 and after) start: stand-ins in Python, standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2.py $(ls -d review/[6-9]/*.py review/10/*.py 2>/dev/null || true)
