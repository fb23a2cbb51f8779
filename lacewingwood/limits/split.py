"""How a customer's limit is divided between regions and parts."""

from collections.abc import Mapping

import msgspec
import xxhash

from lacewingwood.state import records

PARTS = 2
_SHARDS = 32


class Limit(msgspec.Struct, frozen=True):
    """A rate and a burst.

    Attributes:
        rate: Requests a second.
        burst: Requests at once.
    """

    rate: float
    burst: int


def shard(customer: str) -> int:
    """Returns the shard of a customer's bucket."""
    return xxhash.xxh64_intdigest(customer.encode()) % _SHARDS


def lease_name(customer: str, part: int, region: str = "") -> str:
    """Returns the lease whose holder owns a part of a customer's bucket.

    Args:
        customer: Name of the customer.
        part: Index of the part.
        region: Region of the bucket, if there is more than one.
    """
    return _lease(shard(customer), part, region)


def lease_names(region: str = "") -> list[str]:
    """Returns the names of all leases on buckets."""
    return [
        _lease(index, part, region)
        for index in range(_SHARDS)
        for part in range(PARTS)
    ]


def part_index(name: str) -> int:
    """Returns the index of the part that a lease is about."""
    return int(name.rpartition("/")[2])


def sibling_lease(name: str, part: int) -> str:
    """Returns the lease of another part of the same bucket."""
    return f"{name.rpartition('/')[0]}/{part}"


def regional_limit(
    customer: records.Customer, weights: Mapping[str, float], region: str
) -> Limit:
    """Returns the share of a customer's limit that `region` may admit.

    The burst is divided in whole requests; those left over go to the regions
    in an order that depends on the customer. A region without burst gets no
    rate either, since it could not use it.
    """
    if len(weights) <= 1:
        return Limit(customer.rate, customer.burst)
    bursts = _whole_shares(customer.name, customer.burst, weights)
    usable = sum(weights[name] for name, burst in bursts.items() if burst)
    if not bursts[region]:
        return Limit(0.0, 0)
    return Limit(customer.rate * weights[region] / usable, bursts[region])


def parts(limit: Limit) -> tuple[Limit, Limit]:
    """Returns the limits of the two parts.

    Depths are whole requests, so that each part can admit without the other.
    Rates are in proportion to depths: a request that takes its share from each
    part then sees exactly the undivided bucket.
    """
    if limit.burst <= 0:
        return Limit(0.0, 0), Limit(0.0, 0)
    larger = (limit.burst + 1) // 2
    rate = limit.rate * larger / limit.burst
    return (
        Limit(rate, larger),
        Limit(limit.rate - rate, limit.burst - larger),
    )


def _lease(index: int, part: int, region: str) -> str:
    prefix = f"limit/{region}" if region else "limit"
    return f"{prefix}/{index}/{part}"


def _whole_shares(
    name: str, burst: int, weights: Mapping[str, float]
) -> dict[str, int]:
    total = sum(weights.values())
    shares = {key: int(burst * w / total) for key, w in weights.items()}
    order = sorted(
        weights,
        key=lambda key: xxhash.xxh64_intdigest(f"{name}/{key}".encode()),
    )
    for key in order[: burst - sum(shares.values())]:
        shares[key] += 1
    return shares
