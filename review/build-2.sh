#!/bin/sh
# Prepares what the scripts of the second review start besides the daemon. The stand-ins are Python and need no build: this
# checks that they compile and that the daemon of the deploy file's build is there.
set -eu
cd "$(dirname "$0")/.."
python3 -c '
import pathlib, sys
for path in sorted([pathlib.Path("review/stand_ins_2.py"), *pathlib.Path("review").glob("[6-9]/run.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
'
test -x target/packages/pistachioquayd/pistachioquayd
