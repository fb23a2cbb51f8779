"""Zones that the operator evacuates: nothing more is sent to replicas there.

Handles a zone that is about to fail, whose load the others take over. The
store tells what is evacuated, and peers what a gateway has not heard from it.
Performs no I/O.
"""

from collections.abc import Callable
from collections.abc import Mapping

import structlog

# Position of the newest known change of a zone, and whether it is evacuated.
Mark = tuple[int, bool]

_log = structlog.get_logger()


class Evacuations:
    """What is known of each zone that was ever evacuated.

    The store's word counts, whatever was known before: it may have forgotten
    its history and count positions anew. Of what peers tell, the mark with the
    greatest position counts.

    Attributes:
        on_change: Called with the evacuated zones when these have changed.
    """

    __slots__ = ("_marks", "on_change")

    def __init__(self, on_change: Callable[[frozenset[str]], None]) -> None:
        self.on_change = on_change
        self._marks: dict[str, Mark] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The zones that are being evacuated."""
        return frozenset(z for z, (_, active) in self._marks.items() if active)

    def marks(self) -> dict[str, Mark]:
        """Returns what peers are told; empty if no zone was ever evacuated."""
        return dict(self._marks)

    def apply_changes(self, changes: Mapping[str, Mark]) -> None:
        """Applies records of the store.

        Args:
            changes: Offset of the newest record of each zone, and whether it
                has a value.
        """
        before = self.zones
        for zone, (offset, active) in changes.items():
            self._set(zone, offset, active, "store")
        self._report(before)

    def apply_snapshot(self, records: Mapping[str, Mark]) -> None:
        """Applies a snapshot of the store; missing zones are not evacuated."""
        missing = {
            zone: (-1, False) for zone in self._marks if zone not in records
        }
        self.apply_changes({**missing, **records})

    def apply_copy(self, marks: Mapping[str, Mark]) -> None:
        """Applies what a peer knows, where it is newer."""
        before = self.zones
        for zone, (position, active) in marks.items():
            if position > self._marks.get(zone, (-1, False))[0]:
                self._set(zone, position, active, "peer")
        self._report(before)

    def _set(self, zone: str, position: int, active: bool, source: str) -> None:
        known_position, was_active = self._marks.get(zone, (-1, False))
        # A change counts as newer than what is known, so that peers take it.
        changed = active != was_active
        position = max(position, known_position + changed)
        self._marks[zone] = position, active
        if changed:
            _log.info(
                "zone evacuated" if active else "evacuation revoked",
                evacuated_zone=zone,
                position=position,
                source=source,
            )

    def _report(self, before: frozenset[str]) -> None:
        zones = self.zones
        if zones != before:
            self.on_change(zones)


def merge(marks: dict[str, Mark], more: Mapping[str, Mark]) -> None:
    """Adds newer marks to `marks`."""
    for zone, mark in more.items():
        if mark > marks.get(zone, (-1, False)):
            marks[zone] = mark
