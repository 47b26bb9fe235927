#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds and 2 if the case can't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/harness silent review/3/record.txt
