"""Data of the host list."""

import msgspec


class Host(msgspec.Struct, frozen=True):
    """One host of the platform's list.

    Attributes:
        id: Identity of the host; for an engine also the replica's id.
        address: `host:port` where it serves.
        kind: `engine`, `plain` or `entry`.
        service: Service it belongs to, such as `sabeel-lm`.
        zone: Availability zone.
        region: Region.
        state: `live` or `leaving`.
    """

    id: str
    address: str
    kind: str
    service: str
    zone: str
    region: str
    state: str
