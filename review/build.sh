#!/bin/bash
# The stand-ins of the cases are plain JavaScript files in review/lib/ and beside
# each script, and need no build. This only checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs */case.mjs; do
  node --check "$file" || exit 1
done
