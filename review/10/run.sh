#!/bin/sh
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 no
# connection goes silent.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/eelgrassbeamd ] || exit 2
exec target/review-2 forgotten review/10
