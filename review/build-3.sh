#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the deployed program.
# Their stand-ins need no build step: this checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
