#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/typescript ] || npm ci --silent --no-audit --no-fund
node node_modules/typescript/bin/tsc -b
