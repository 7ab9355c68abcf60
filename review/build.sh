#!/bin/sh
# The stand-ins are plain Python without dependencies: this only compiles them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins [0-9]*
