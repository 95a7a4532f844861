#!/bin/sh
# Checks the stand-ins and the cases. They are plain JavaScript, so that nothing has to be built.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
