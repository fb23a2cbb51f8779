#!/usr/bin/env bash
# Checks that all stand-ins of the cases 11 to 15 can be started. They are
# Python programs, which need no build beyond that of the deploy file.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps ]; then
  echo "target/deps is missing: run the build of deploy/system.toml" >&2
  exit 2
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import standins.__main__
import review.lib3.deployment
import review.lib3.jobs
import review.lib3.store
'
