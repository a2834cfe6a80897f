#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start: the project's stand-in of the platform's store,
# into dist/review-2/. Packages are those of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
npx esbuild standins/platform/store.ts --bundle --platform=node --target=node20 --format=esm --log-level=warning \
    --outfile=dist/review-2/store.mjs
