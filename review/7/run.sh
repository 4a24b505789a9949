#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same traffic without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/wigeonhill ] && [ -x review/bin/lab2 ] || exit 2
exec review/bin/lab2 quota-pair-cut "$folder"
