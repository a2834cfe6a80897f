#!/bin/sh
# Exits with 1 where the rule was broken, 0 where it held, 2 where the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" && exec node case.mjs
