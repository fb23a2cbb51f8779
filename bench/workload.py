"""Deployments and load of the benchmark, the same for both versions."""

import dataclasses

from devtools import deployment
from devtools import load

SEED = 20261204
TOKENS = 16
ITEM_TOKENS = 48
SLOTS = 8
STEP_MS = 20.0
ENTRIES = 10
WORKERS = 4
PHASE_S = 10.0
HALF_LOAD_S = 8.0
WARM_UP_S = 4.0
# More items than the engines can complete in all phases with batch.
BATCH_ITEMS = 2_500
BURSTS = 4
# The customers' rates add up to this share of the engines' capacity.
_ALLOCATED_SHARE = 0.7
# Online load while batch is measured, as a share of the customers' rates.
_ONLINE_SHARE = 0.6
# Rate of each large customer, as a share of the sum of all rates.
_LARGE_SHARE = 0.28
# A customer's burst is this time's worth of its rate.
_BURST_S = 2.0
# In the excess phase, one customer sends this multiple of its rate and all
# others this share of theirs.
_EXCESS_FACTOR = 5
_OTHERS_SHARE = 0.95


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation's deployment and customers.

    Attributes:
        name: Name in reports.
        shape: Size and settings of the deployment.
        customers: Names of the customers, the large ones first.
        large: Number of large customers.
    """

    name: str
    shape: deployment.Shape
    customers: tuple[str, ...]
    large: int = 2

    @property
    def capacity(self) -> float:
        """Online requests per second that fill all slots."""
        request_s = TOKENS * STEP_MS / 1000
        return self.shape.replicas * SLOTS / request_s

    def limits(self) -> dict[str, tuple[float, int]]:
        """Returns each customer's rate and burst."""
        allocated = self.capacity * _ALLOCATED_SHARE
        small = len(self.customers) - self.large
        rates = [allocated * _LARGE_SHARE] * self.large
        rates += [allocated * (1 - self.large * _LARGE_SHARE) / small] * small
        return {
            name: (round(rate, 2), round(rate * _BURST_S))
            for name, rate in zip(self.customers, rates, strict=True)
        }

    @property
    def greedy(self) -> str:
        """The customer that sends far above its rate in the excess phase."""
        return self.customers[0]

    def online(
        self, keys: dict[str, str], share: float = _ONLINE_SHARE
    ) -> list[load.Caller]:
        """Returns callers that all send at the same share of their rates."""
        return [
            load.Caller(
                customer=name, key=keys[name], rate=rate * share, tokens=TOKENS
            )
            for name, (rate, _) in self.limits().items()
        ]

    def half_load(self, keys: dict[str, str]) -> list[load.Caller]:
        """Returns callers that take half of the engines' capacity."""
        return self.online(keys, 0.5 / _ALLOCATED_SHARE)

    def excess(self, keys: dict[str, str]) -> list[load.Caller]:
        """Returns callers of which one sends far above its rate."""
        callers = self.online(keys, _OTHERS_SHARE)
        callers[0].rate *= _EXCESS_FACTOR / _OTHERS_SHARE
        return callers


def _shape(
    service: str, region: str, zones: tuple[str, ...], replicas: int
) -> deployment.Shape:
    return deployment.Shape(
        service=service,
        model=service,
        region=region,
        zones=zones,
        replicas=replicas,
        entries=ENTRIES,
        workers=WORKERS,
        slots=SLOTS,
        step_ms=STEP_MS,
    )


AUTHORITY = Organisation(
    "Authority",
    _shape(
        "sabeel-lm",
        "delta-north",
        ("tanta-a", "mahalla-b", "kafr-c", "zifta-d"),
        6,
    ),
    (
        "tanta-office",
        "mahalla-office",
        "kafr-inspectors",
        "zifta-inspectors",
        "tanta-vendors",
        "mahalla-vendors",
        "kafr-vendors",
        "zifta-night-desk",
    ),
)
COOPERATIVE = Organisation(
    "Co-operative",
    _shape(
        "tanggul-lm",
        "jawa-utara",
        ("semarang", "demak", "kendal", "jepara"),
        5,
    ),
    (
        "foreman-desk",
        "semarang-crew",
        "demak-crew",
        "kendal-crew",
        "jepara-crew",
        "semarang-office",
        "demak-office",
        "kendal-office",
    ),
)
