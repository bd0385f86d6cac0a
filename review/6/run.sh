#!/bin/sh
# Plays the case "zone" of review/lab2: exit 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cobaltvale ] || [ ! -x target/review2-lab ]; then
	echo "build target/cobaltvale and run review/build-2.sh first" >&2
	exit 2
fi
exec target/review2-lab zone review/6/record.txt
