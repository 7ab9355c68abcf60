#!/bin/sh
# Checks the stand-ins of the cases 4 to 8. They are Python and need no build;
# the project's programs come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - parts_2/*.py [4-8]/*.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
print(f"checked {len(sys.argv) - 1} files")
CHECK
