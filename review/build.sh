#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python of the standard library, compiled once so that an error shows here.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
