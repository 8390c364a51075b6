#!/bin/sh
# The stand-ins of cases 4 to 8 are plain JavaScript modules in review/parts; this checks that they can be loaded.
# The programs under review come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
for module in review/parts/*.mjs; do node --check "$module"; done
test -d target || { echo 'target/ is missing: run the build of deploy/system.toml first' >&2; exit 1; }
