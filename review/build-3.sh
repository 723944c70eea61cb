#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain modules of review/kit-3.mjs: nothing to build, only checked to load.
set -euo pipefail
cd "$(dirname "$0")"
node --check kit-3.mjs
