"""Shards of replicas, and the gateway that coordinates each of them.

A shard is a group of replicas of one service in one zone. Every gateway works
out the shards and their coordinators by itself from what it knows, so two
gateways may differ for a short time.
"""

import math
from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from lacewingwood.routing import load

# Replicas of a shard. A coordinator handles some ten requests a second for each
# of its replicas.
_MAX_SHARD_SIZE = 24


class ShardMap:
    """The shards of all replicas.

    Call `update` whenever replicas were added or removed.
    """

    __slots__ = ("_by_replica", "_by_service", "_replicas")

    def __init__(self) -> None:
        self._replicas: dict[str, list[load.Replica]] = {}
        self._by_service: dict[str, list[str]] = {}
        self._by_replica: dict[str, str] = {}

    def update(self, replicas: Iterable[load.Replica]) -> None:
        """Groups the replicas anew."""
        groups: dict[tuple[str, str], list[load.Replica]] = {}
        for replica in replicas:
            listing = replica.listing
            groups.setdefault((listing.service, listing.zone), []).append(
                replica
            )
        self._replicas.clear()
        self._by_service.clear()
        self._by_replica.clear()
        for (service, zone), members in sorted(groups.items()):
            count = math.ceil(len(members) / _MAX_SHARD_SIZE)
            for replica in members:
                index = _hash(replica.listing.id) % count
                shard = f"{service}/{zone}/{index}"
                if shard not in self._replicas:
                    self._by_service.setdefault(service, []).append(shard)
                self._replicas.setdefault(shard, []).append(replica)
                self._by_replica[replica.listing.id] = shard

    def replicas(self, shard: str) -> list[load.Replica]:
        """Returns the replicas of a shard."""
        return self._replicas.get(shard, [])

    def of_service(self, service: str) -> list[str]:
        """Returns the shards of a service."""
        return self._by_service.get(service, [])

    def of_replica(self, replica: load.Replica) -> str:
        """Returns the shard of a replica, empty if it has none."""
        return self._by_replica.get(replica.listing.id, "")


def zone_of(shard: str) -> str:
    """Returns the zone of a shard's replicas."""
    return shard.rpartition("/")[0].rpartition("/")[2]


def elect(
    shard: str, hosts: Iterable[str], usable: Callable[[str], bool]
) -> str | None:
    """Returns the host that coordinates a shard, None if no host is usable.

    Uses rendezvous hashing, so that the loss of a host moves only its shards.

    Args:
        shard: The shard.
        hosts: Hosts of the live gateways that may coordinate it.
        usable: Returns whether a host has answered recently enough.
    """
    ordered = sorted(hosts, key=lambda host: _hash(f"{shard} {host}"))
    return next((host for host in ordered if usable(host)), None)


def _hash(text: str) -> int:
    return int(xxhash.xxh64_intdigest(text.encode()))
