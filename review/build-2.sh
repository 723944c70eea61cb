#!/usr/bin/env bash
# The scripts of the second review start the program that the deploy file builds, and the stand-ins of
# kit-2.mjs, which runs as it is: there is nothing to compile. Checks that both are there.
set -e
cd "$(dirname "$0")/.."
test -f target/fescuespread.cjs
node --check review/kit-2.mjs
