#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/sardinestile.cjs ] || exit 2
command -v node > /dev/null || exit 2
exec node case.mjs
