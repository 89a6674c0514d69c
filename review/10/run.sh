#!/usr/bin/env bash
# Shows the case of claim.txt; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec node run.mjs
