"""Runs the tests except those listed in KNOWN-RED.txt, which it prints."""

import pathlib
import subprocess
import sys

_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def _known_red() -> list[str]:
    """Returns the test ids, one at the start of each entry of the list."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.split()[0] for line in lines if line.startswith("tests/")]


def main() -> int:
    """Runs pytest and returns its exit code."""
    deselect: list[str] = []
    for test in _known_red():
        print(f"known failure, not run: {test}", flush=True)
        deselect += ["--deselect", test]
    command = [sys.executable, "-m", "pytest", *deselect, *sys.argv[1:]]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
