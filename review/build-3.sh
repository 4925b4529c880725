#!/bin/sh
# The stand-ins of this review are plain modules for Node.js (harness-3.mjs and the case.mjs of
# each case), which need no build and no package. Checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in harness-3.mjs 1[1-3]/case.mjs; do
  node --check "$file" || exit 1
done
