#!/bin/sh
# A new configuration takes the only tenant away, with its key.
cd "$(dirname "$0")/../.." || exit 2
exec node review/4/case.mjs
