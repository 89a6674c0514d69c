#!/bin/sh
# A machine is removed and others are restarted while the configuration changes; with TROUBLE=0 no machine is removed.
cd "$(dirname "$0")" && exec node run.mjs
