#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 (review/stand-ins-2) are plain modules of Node.js without dependencies. Checks that
# each of them loads; there is nothing to compile.
set -eu
cd "$(dirname "$0")/stand-ins-2"
for file in *.mjs; do
  node --check "$file"
done
