"""Division of a customer's limit between regions and between two parts.

Each part of a customer's token bucket is owned by the holder of a lease. The
customers are hashed to shards, and each part of a shard has one lease.
"""

from collections.abc import Mapping

import msgspec
import xxhash

from lacewingwood.state import records

PARTS = 2
_SHARD_COUNT = 32


class Limit(msgspec.Struct, frozen=True):
    """A rate and a burst.

    Attributes:
        rate: Requests per second.
        burst: Maximum number of requests at once.
    """

    rate: float
    burst: int


def shard(customer: str) -> int:
    """Returns the index of the shard of a customer's bucket."""
    return xxhash.xxh64_intdigest(customer.encode()) % _SHARD_COUNT


def lease_name(customer: str, part: int, region: str = "") -> str:
    """Returns the name of the lease on a part of a customer's bucket.

    Args:
        customer: Name of the customer.
        part: Index of the part.
        region: Region of the bucket, if there is more than one.
    """
    return _format_lease_name(shard(customer), part, region)


def lease_names(region: str = "") -> list[str]:
    """Returns the names of the leases on all parts of all shards."""
    return [
        _format_lease_name(index, part, region)
        for index in range(_SHARD_COUNT)
        for part in range(PARTS)
    ]


def part_index(name: str) -> int:
    """Returns the index of the part that a lease covers."""
    return int(name.rpartition("/")[2])


def sibling_lease(name: str, part: int) -> str:
    """Returns the name of the lease on another part of the same shard."""
    return f"{name.rpartition('/')[0]}/{part}"


def regional_limit(
    customer: records.Customer, weights: Mapping[str, float], region: str
) -> Limit:
    """Returns the share of a customer's limit that `region` may admit.

    The burst is divided into whole requests. The requests that remain after
    rounding down go to regions in an order that depends on the customer's
    name. A region without burst gets no rate, since it could not use it.
    """
    if len(weights) <= 1:
        return Limit(customer.rate, customer.burst)
    bursts = _whole_shares(customer.name, customer.burst, weights)
    usable_weight = sum(
        weights[name] for name, burst in bursts.items() if burst
    )
    if not bursts[region]:
        return Limit(0.0, 0)
    return Limit(
        customer.rate * weights[region] / usable_weight, bursts[region]
    )


def parts(limit: Limit) -> tuple[Limit, Limit]:
    """Divides a limit between the two parts of a bucket.

    The bursts are whole requests, so that each part can admit requests without
    the other. The rates are proportional to the bursts: a request that takes
    tokens from both parts in the same proportion is then admitted exactly as
    by the undivided bucket.
    """
    if limit.burst <= 0:
        return Limit(0.0, 0), Limit(0.0, 0)
    larger = (limit.burst + 1) // 2
    rate = limit.rate * larger / limit.burst
    return (
        Limit(rate, larger),
        Limit(limit.rate - rate, limit.burst - larger),
    )


def _format_lease_name(index: int, part: int, region: str) -> str:
    prefix = f"limit/{region}" if region else "limit"
    return f"{prefix}/{index}/{part}"


def _whole_shares(
    name: str, burst: int, weights: Mapping[str, float]
) -> dict[str, int]:
    total = sum(weights.values())
    shares = {
        key: int(burst * weight / total) for key, weight in weights.items()
    }
    remainder_order = sorted(
        weights,
        key=lambda key: xxhash.xxh64_intdigest(f"{name}/{key}".encode()),
    )
    for key in remainder_order[: burst - sum(shares.values())]:
        shares[key] += 1
    return shares
