#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p tsconfig.json
