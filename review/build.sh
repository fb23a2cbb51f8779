#!/usr/bin/env bash
# Builds what the scripts of the review start: nothing is compiled. The stand-ins
# use the libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 \
  python3 -c "import standins.keyed_store, standins.server, trio, msgspec, xxhash"
