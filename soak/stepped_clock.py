"""Runs the program with an offset wall clock, to simulate clock steps.

`python -m soak.stepped_clock FILE ARGS...` runs `lacewingwood ARGS...`; FILE
contains the offset in ms and may change at any time.
"""

import pathlib
import runpy
import sys
import time

_REFRESH_S = 0.05


def main() -> None:
    """Replaces `time.time_ns` and runs the program."""
    offset_path = pathlib.Path(sys.argv[1])
    sys.argv = ["lacewingwood", *sys.argv[2:]]
    true_time_ns = time.time_ns
    last_read_s, offset_ns = float("-inf"), 0

    def stepped_time_ns() -> int:
        nonlocal last_read_s, offset_ns
        if time.monotonic() - last_read_s > _REFRESH_S:
            last_read_s = time.monotonic()
            offset_ns = int(offset_path.read_text() or "0") * 1_000_000
        return true_time_ns() + offset_ns

    time.time_ns = stepped_time_ns
    runpy.run_module("lacewingwood", run_name="__main__")


if __name__ == "__main__":
    main()
