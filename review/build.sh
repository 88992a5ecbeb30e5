#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs without dependencies; there is nothing to compile. This checks that
# they can run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py [1-5]/case.py <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
print(len(sys.argv) - 1, "programs checked")
CHECK
