#!/bin/bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/review/build/caselab" ] || [ ! -x "$root/target/cactusspoke" ]; then
	echo "build the deploy file and run review/build.sh first"
	exit 2
fi
exec "$root/review/build/caselab" poison "$root" "$here"
