#!/usr/bin/env bash
# Checks the stand-ins and the cases; they are plain modules, so that nothing is compiled.
set -eu
cd "$(dirname "$0")"
for file in harness.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
