#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the deploy file's
# build. Their stand-ins use the standard library of Python 3.11 alone and run
# within the scripts, so that there is nothing to install; they are compiled
# to see that they load.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path().glob("lib2/*.py")) + sorted(
    pathlib.Path().glob("[6-9]/*.py")
) + sorted(pathlib.Path().glob("10/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiled", path)
EOF
