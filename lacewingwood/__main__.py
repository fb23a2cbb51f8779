"""Runs the program with `python -m lacewingwood`."""

from lacewingwood.cli import main

if __name__ == "__main__":
    main.main()
