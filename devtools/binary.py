"""Builds the program as one executable file that requires Python 3.11."""

import pathlib
import subprocess
import sys

OUTPUT = pathlib.Path("dist/lacewingwood")


def build(source: pathlib.Path, output: pathlib.Path) -> int:
    """Builds `output` from `source`; returns the builder's exit code."""
    output.parent.mkdir(exist_ok=True)
    command = [
        *(sys.executable, "-m", "shiv"),
        *("--console-script", "lacewingwood"),
        *("--output-file", str(output)),
        *("--python", "/usr/bin/env python3.11"),
        "--reproducible",
        *("--constraint", str(source / "requirements.lock")),
        str(source),
    ]
    return subprocess.run(command, check=False).returncode


def main() -> int:
    """Builds `dist/lacewingwood` from the pinned requirements."""
    code = build(pathlib.Path(), OUTPUT)
    if code == 0:
        print(f"{OUTPUT}: {OUTPUT.stat().st_size / 2**20:.1f} MiB")
    return code


if __name__ == "__main__":
    sys.exit(main())
