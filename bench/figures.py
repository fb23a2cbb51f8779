"""Computes the figures of a run and compares them with their targets."""

import dataclasses
import operator
from collections.abc import Callable

from bench import phases
from bench import probes
from bench import windows
from bench import workload
from devtools import load

_YIELD_TARGET_MS = workload.STEP_MS + 10


@dataclasses.dataclass(slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name in the report.
        value: Measured value, None if it could not be measured.
        target: Bound that the value must keep.
        at_most: True if the target is an upper bound, False for a lower one.
        note: Further readings behind the value.
    """

    name: str
    value: float | None
    target: float
    at_most: bool
    note: str = ""

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        compare: Callable[[float, float], bool]
        compare = operator.le if self.at_most else operator.ge
        return self.value is not None and compare(self.value, self.target)


def figures(org: workload.Organisation, run: phases.Run) -> list[Figure]:
    """Returns all figures of a run."""
    return [
        _first_token_ratio(run),
        _batch_share(run),
        _over_admission(org, run),
        _refusals_within_rate(org, run),
        _worst_served(org, run),
        _burst_yield_time(run),
        *_added_latency(run),
    ]


def _first_token_ratio(run: phases.Run) -> Figure:
    with_batch = first_tokens(run.online_with_batch)
    alone = first_tokens(run.online_only)
    high, low = _p99(with_batch), _p99(alone)
    return Figure(
        "first token p99, with batch / without",
        high / low if high and low else None,
        1.05,
        True,
        f"{_ms(high)} / {_ms(low)} ms of {len(with_batch)} and {len(alone)}"
        f" requests; p50 {_ms(load.percentile(with_batch, 0.5))} /"
        f" {_ms(load.percentile(alone, 0.5))} ms",
    )


def _batch_share(run: phases.Run) -> Figure:
    used, alone = run.online_with_batch.usage, run.online_only.usage
    # A request takes the same slot time with batch load as without, so the
    # online share is scaled from the phase without batch.
    online_ms = (
        alone.busy_ms
        * _complete(run.online_with_batch)
        / _complete(run.online_only)
    )
    idle_ms = used.total_ms - online_ms
    online_tokens = alone.tokens * online_ms / alone.busy_ms
    by_tokens = (used.tokens - online_tokens) * workload.STEP_MS / idle_ms
    return Figure(
        "batch slot time / left idle by online",
        (used.busy_ms - online_ms) / idle_ms,
        0.95,
        False,
        f"by tokens {by_tokens:.3f}; online took"
        f" {online_ms / used.total_ms:.1%}, all {_busy_share(used):.1%} of"
        f" slots; {'filled' if run.slots_filled else 'not full'} before the"
        " phase",
    )


def _over_admission(org: workload.Organisation, run: phases.Run) -> Figure:
    limits = org.limits()
    certain: dict[str, float] = {}
    by_sending = 0.0
    for name, (rate, burst) in limits.items():
        spans = [
            windows.Span(o.sent_s, o.answered_s)
            for o in run.through_entries()
            if o.customer == name and o.status == 200
        ]
        certain[name] = windows.certain_excess(spans, rate, burst)
        times = [span.sent for span in spans]
        excess = windows.point_excess(times, rate, burst)
        by_sending = max(by_sending, excess)
    worst = max(certain, key=lambda name: certain[name])
    return Figure(
        "requests over rate x length + burst, any window",
        certain[worst],
        0,
        True,
        f"worst {worst}; by sending times alone {by_sending:.2f}",
    )


def _refusals_within_rate(
    org: workload.Organisation, run: phases.Run
) -> Figure:
    """Counts refusals of requests that an ideal token bucket would admit."""
    refused = sent = failed = 0
    steady = (
        run.entry_half,
        run.online_only,
        run.excess,
        run.online_with_batch,
    )
    for name, (rate, burst) in org.limits().items():
        outcomes = [o for p in steady for o in p.outcomes if o.customer == name]
        if name == org.greedy:
            greedy = {id(o) for o in run.excess.outcomes}
            outcomes = [o for o in outcomes if id(o) not in greedy]
        for outcome, conforms in _conforming(outcomes, rate, burst):
            sent += conforms
            refused += conforms and outcome.status == 429
            failed += conforms and outcome.status not in (200, 429)
    return Figure(
        "refusals inside the rate",
        refused / sent,
        0.001,
        True,
        f"{refused} of {sent}; {failed} failed in other ways",
    )


def _worst_served(org: workload.Organisation, run: phases.Run) -> Figure:
    shares: dict[str, float] = {}
    for name, (rate, burst) in org.limits().items():
        outcomes = [o for o in run.excess.outcomes if o.customer == name]
        entitled = sum(
            conforms for _, conforms in _conforming(outcomes, rate, burst)
        )
        shares[name] = sum(o.complete for o in outcomes) / entitled
    worst = min(shares, key=lambda name: shares[name])
    return Figure(
        "worst-served customer / entitlement",
        shares[worst],
        0.95,
        False,
        f"{worst}; {org.greedy}, which sends 5 times its rate:"
        f" {shares[org.greedy]:.3f}; worst of the others:"
        f" {min(s for n, s in shares.items() if n != org.greedy):.3f}",
    )


def _conforming(
    outcomes: list[load.Outcome], rate: float, burst: float
) -> list[tuple[load.Outcome, bool]]:
    outcomes = sorted(outcomes, key=lambda o: o.sent_s)
    times = [o.sent_s for o in outcomes]
    return list(
        zip(outcomes, windows.conforming(times, rate, burst), strict=True)
    )


def _burst_yield_time(run: phases.Run) -> Figure:
    yielded = [b.yielded_ms for b in run.bursts if b.yielded_ms is not None]
    earliest = [b.earliest_ms for b in run.bursts if b.earliest_ms is not None]
    first = [ms for b in run.bursts for ms in b.first_token_ms]
    complete = len(yielded) == len(run.bursts)
    note = (
        f"{len(yielded)} of {len(run.bursts)} bursts made batch yield"
        f" ({sum(b.yields for b in run.bursts)} items);"
        f" sent within {max(b.sent_ms for b in run.bursts):.0f} ms,"
        f" samples up to {max(b.poll_ms for b in run.bursts):.0f} ms apart;"
        f" burst's first tokens p99 {_ms(_p99(first))} ms"
    )
    if earliest:
        note += f"; not before {max(earliest):.1f} ms"
    return Figure(
        "burst to batch yielded, worst, ms",
        max(yielded) if complete else None,
        _YIELD_TARGET_MS,
        True,
        note,
    )


def _added_latency(run: phases.Run) -> list[Figure]:
    found: list[Figure] = []
    readings = (
        ("first token", 5.0, first_tokens),
        ("between tokens", 1.0, gaps),
    )
    for name, target, read in readings:
        entry, direct = read(run.entry_half), read(run.direct_half)
        high, low = _p99(entry), _p99(direct)
        # Direct calls choose a replica at random. If their tail is the longer
        # one, it hides the latency that the entry adds, so there is no value.
        resolved = high is not None and low is not None and high >= low
        found.append(
            Figure(
                f"added {name}, p99, ms",
                high - low if resolved and high and low else None,
                target,
                True,
                f"{'' if resolved else 'not resolved: '}"
                f"{_ms(high)} through entries, {_ms(low)} direct; p50"
                f" {_ms(load.percentile(entry, 0.5))},"
                f" {_ms(load.percentile(direct, 0.5))}",
            )
        )
    return found


def first_tokens(phase: phases.Phase) -> list[float]:
    """Returns the times to first token of a phase's requests in ms."""
    times = (o.first_token_ms for o in phase.outcomes)
    return [ms for ms in times if ms is not None]


def gaps(phase: phases.Phase) -> list[float]:
    """Returns the times between tokens of a phase's answers in ms."""
    return [ms for o in phase.outcomes for ms in o.gaps_ms]


def _complete(phase: phases.Phase) -> int:
    return sum(o.complete for o in phase.outcomes)


def _busy_share(usage: probes.Usage) -> float:
    return usage.busy_ms / usage.total_ms


def _p99(values: list[float]) -> float | None:
    return load.percentile(values, 0.99)


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"
