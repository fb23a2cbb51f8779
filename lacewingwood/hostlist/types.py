"""Entries of the host list."""

import msgspec


class Host(msgspec.Struct, frozen=True):
    """One entry of the platform's host list.

    Attributes:
        id: Unique id of the host; for an engine also the replica's id.
        address: `HOST:PORT` at which the host accepts requests.
        kind: `engine` (replica of a model engine), `plain` (upstream of a
            plain service) or `entry` (entry process).
        service: Service to which the host belongs, such as `sabeel-lm`.
        zone: Availability zone of the host.
        region: Region of the host.
        state: `live`, or `leaving` if the host gets no new requests.
    """

    id: str
    address: str
    kind: str
    service: str
    zone: str
    region: str
    state: str
