#!/bin/sh
# The stand-ins of these cases are plain modules in lib-3/ and need no build. This checks that each of them, and each script, can be loaded.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.mjs 11/*.mjs 12/*.mjs 13/*.mjs 14/*.mjs 15/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
