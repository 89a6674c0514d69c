#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." && exec node review/1/run.mjs
