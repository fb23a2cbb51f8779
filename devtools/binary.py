"""Builds the program as one file that runs on a host with Python 3.11."""

import pathlib
import subprocess
import sys

OUTPUT = pathlib.Path("dist/lacewingwood")


def main() -> int:
    """Builds `dist/lacewingwood` from the pinned requirements."""
    OUTPUT.parent.mkdir(exist_ok=True)
    command = [
        *(sys.executable, "-m", "shiv"),
        *("--console-script", "lacewingwood"),
        *("--output-file", str(OUTPUT)),
        *("--python", "/usr/bin/env python3.11"),
        "--reproducible",
        *("--constraint", "requirements.lock"),
        ".",
    ]
    done = subprocess.run(command, check=False)
    if done.returncode == 0:
        print(f"{OUTPUT}: {OUTPUT.stat().st_size / 2**20:.1f} MiB")
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
