#!/usr/bin/env bash
# Builds the project's stand-ins, which the scripts of cases 4 to 8 start, into out/.
set -eu
cd "$(dirname "$0")/.."
npx tsc -p .
