#!/usr/bin/env bash
# Prepares the scripts of the second review. Their stand-ins, in
# review/stand-ins-2/, are plain modules without a build or dependencies of their
# own: this checks that they parse, and that the build of the deploy file has been
# made.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/{6,7,8,9,10}/run.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
test -f target/banyanlb.mjs
