"""The two organisations' deployments and the load that both versions get."""

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
ADDED_S = 8.0
WARM_UP_S = 4.0
# More than the engines can do in all phases with batch.
BATCH_ITEMS = 2_500
BURSTS = 4
# Rates add up to this share of what the engines can do.
_SOLD = 0.7
# Online load while batch is measured, as a share of the customers' rates.
_ONLINE = 0.6
_LARGE_SHARE = 0.28
_BURST_S = 2.0
_EXCESS_FACTOR = 5
_OTHERS = 0.95


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """One deployment under test.

    Attributes:
        name: Name in reports.
        shape: Its processes.
        customers: Names, the large ones first.
        large: Number of large customers.
    """

    name: str
    shape: deployment.Shape
    customers: tuple[str, ...]
    large: int = 2

    @property
    def capacity(self) -> float:
        """Online requests a second that fill all slots."""
        request_s = TOKENS * STEP_MS / 1000
        return self.shape.replicas * SLOTS / request_s

    def limits(self) -> dict[str, tuple[float, int]]:
        """Returns each customer's rate and burst."""
        sold = self.capacity * _SOLD
        small = len(self.customers) - self.large
        rates = [sold * _LARGE_SHARE] * self.large
        rates += [sold * (1 - self.large * _LARGE_SHARE) / small] * small
        return {
            name: (round(rate, 2), round(rate * _BURST_S))
            for name, rate in zip(self.customers, rates, strict=True)
        }

    @property
    def greedy(self) -> str:
        """The customer that sends several times its rate."""
        return self.customers[0]

    def online(
        self, keys: dict[str, str], share: float = _ONLINE
    ) -> list[load.Caller]:
        """Returns all customers at the same share of their rates."""
        return [
            load.Caller(
                customer=name, key=keys[name], rate=rate * share, tokens=TOKENS
            )
            for name, (rate, _) in self.limits().items()
        ]

    def half_load(self, keys: dict[str, str]) -> list[load.Caller]:
        """Returns callers that take half of what the engines can do."""
        return self.online(keys, 0.5 / _SOLD)

    def excess(self, keys: dict[str, str]) -> list[load.Caller]:
        """Returns one customer far above its rate and the others below."""
        callers = self.online(keys, _OTHERS)
        callers[0].rate *= _EXCESS_FACTOR / _OTHERS
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
