#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
PYTHONDONTWRITEBYTECODE=1 python3 run.py
code=$?
if [ $code -eq 1 ]; then
    tail -n 1 record.txt | grep -q 'THE RULE WAS BROKEN' || code=2
elif [ $code -ne 0 ]; then
    code=2
fi
exit $code
