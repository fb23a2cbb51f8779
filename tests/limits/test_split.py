"""Tests of the division of limits between regions and between parts."""

import hypothesis
import pytest
from hypothesis import strategies

from lacewingwood.limits import split
from lacewingwood.state import records

_CUSTOMERS = strategies.builds(
    records.Customer,
    name=strategies.text(min_size=1, max_size=5),
    rate=strategies.floats(0.01, 1e5),
    burst=strategies.integers(1, 10_000),
)
_WEIGHTS = strategies.dictionaries(
    strategies.sampled_from(["r1", "r2", "r3"]),
    strategies.floats(0.1, 10),
    min_size=1,
)


@hypothesis.given(customer=_CUSTOMERS, weights=_WEIGHTS)
def test_shares_add_up_to_the_limit(
    customer: records.Customer, weights: dict[str, float]
) -> None:
    """Guards against shares that together exceed or waste the limit."""
    regional = [
        split.regional_limit(customer, weights, name) for name in weights
    ]
    parts = [part for limit in regional for part in split.parts(limit)]
    assert sum(part.burst for part in parts) == customer.burst
    assert sum(part.rate for part in parts) == pytest.approx(customer.rate)
    assert all(part.burst > 0 or part.rate == 0 for part in parts)


def test_burst_of_one_belongs_to_the_first_part() -> None:
    """Guards against a request that needs the owners of both parts."""
    whole = split.Limit(3.0, 1)
    assert split.parts(whole) == (whole, split.Limit(0.0, 0))


def test_lease_names_cover_every_customer_and_only_differ_by_part() -> None:
    """Guards against customers whose leases are never claimed."""
    names = set(split.lease_names())
    assert len(names) == 64
    for index in range(200):
        assert {split.lease_name(f"c{index}", p) for p in (0, 1)} <= names
