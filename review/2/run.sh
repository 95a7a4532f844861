#!/bin/sh
# Kills a gateway while it forwards streams that end with their connection.
cd "$(dirname "$0")/../.." || exit 2
exec node review/2/case.mjs
