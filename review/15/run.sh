#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption, and must pass.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/review-lab3" ] || [ ! -x "$root/target/cactusspoke" ]; then
	echo "run the deploy file's build and review/build-3.sh first"
	exit 2
fi
exec "$root/target/review-lab3" line-feeds "$root" "$PWD"
