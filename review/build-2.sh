#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain scripts that need no build; this checks that they are complete and can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for script in lib-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
	node --check "$script"
done
