#!/bin/sh
# The stand-ins of the review are plain scripts under review/lib/ that need only Node.js; nothing has to be built.
# The program itself is built by the deploy file.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
