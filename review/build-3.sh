#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules for Node.js without dependencies, so that nothing has
# to be compiled; their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
