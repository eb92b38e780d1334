#!/bin/sh
# Runs case 10; build with review/build-2.sh first. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cell ] || exit 2
exec target/review-2/cell foreign review/10/record.txt
