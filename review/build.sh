#!/bin/sh
# The stand-ins are plain modules for Node.js; there is nothing to compile, so this only checks that they parse.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
