#!/usr/bin/env bash
# Builds the project's stand-ins, which the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
npx tsc -p .
