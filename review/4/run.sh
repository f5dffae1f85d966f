#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")"
timeout --kill-after=5 110 node case.mjs
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
