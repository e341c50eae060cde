#!/bin/sh
cd "$(dirname "$0")" || exit 2
exec timeout 118 node run.mjs
