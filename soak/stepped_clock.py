"""Runs the program with a time of day that is off by what a file says.

`python -m soak.stepped_clock FILE ARGS...` runs `lacewingwood ARGS...`; FILE
holds the offset in ms and may change at any time.
"""

import pathlib
import runpy
import sys
import time

_CHECK_S = 0.05


def main() -> None:
    """Replaces the time of day and runs the program."""
    offset = pathlib.Path(sys.argv[1])
    sys.argv = ["lacewingwood", *sys.argv[2:]]
    true_time_ns = time.time_ns
    read_s, off_ns = float("-inf"), 0

    def stepped_time_ns() -> int:
        nonlocal read_s, off_ns
        if time.monotonic() - read_s > _CHECK_S:
            read_s = time.monotonic()
            off_ns = int(offset.read_text() or "0") * 1_000_000
        return true_time_ns() + off_ns

    time.time_ns = stepped_time_ns
    runpy.run_module("lacewingwood", run_name="__main__")


if __name__ == "__main__":
    main()
