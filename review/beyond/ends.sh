#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/standin ] && [ -x target/release/amaranthsaddle ] || exit 2
exec review/target/standin ends target/release/amaranthsaddle review/beyond/record.txt
