"""Counters, gauges and histograms of one process."""

from collections.abc import Callable
from typing import Any

from hdrh import histogram

# Latencies are recorded in microseconds, from 1 us to 10 minutes.
_MIN_US = 1
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 95.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


class Histogram:
    """A distribution of durations."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values = histogram.HdrHistogram(
            _MIN_US, _MAX_US, _SIGNIFICANT_DIGITS
        )

    def record_ms(self, duration_ms: float) -> None:
        """Adds one duration in milliseconds."""
        value = int(duration_ms * 1000)
        self._values.record_value(min(max(value, _MIN_US), _MAX_US))

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        return int(self._values.total_count)

    def percentile_ms(self, percentile: float) -> float:
        """Returns the value at `percentile` (0 to 100) in milliseconds."""
        return float(self._values.get_value_at_percentile(percentile)) / 1000


class Registry:
    """All metrics of one process."""

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[tuple[str, Labels], Histogram] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def counter(self, name: str, **labels: str) -> float:
        """Returns a counter's value."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a function that returns a gauge's value."""
        self._gauges[name] = read

    def histogram(self, name: str, **labels: str) -> Histogram:
        """Returns a histogram, which is created on first use."""
        key = (name, tuple(sorted(labels.items())))
        found = self._histograms.get(key)
        if found is None:
            found = self._histograms[key] = Histogram()
        return found

    def dump(self) -> dict[str, Any]:
        """Returns all values as objects that can be encoded as JSON."""
        return {
            "counters": {
                _series_name(n, ls): v for (n, ls), v in self._sorted_counters()
            },
            "gauges": {name: read() for name, read in self._gauges.items()},
            "histograms_ms": {
                _series_name(name, labels): _summary(values)
                for (name, labels), values in sorted(self._histograms.items())
            },
        }

    def render(self) -> str:
        """Returns all values in the Prometheus text format."""
        lines = [
            f"{_series_name(n, ls)} {v:g}"
            for (n, ls), v in self._sorted_counters()
        ]
        lines += [f"{name} {read():g}" for name, read in self._gauges.items()]
        for (name, labels), values in sorted(self._histograms.items()):
            for percentile in _PERCENTILES:
                quantile = (*labels, ("quantile", f"{percentile / 100:g}"))
                value = values.percentile_ms(percentile)
                lines.append(
                    f"{_series_name(name + '_ms', quantile)} {value:g}"
                )
            count = _series_name(name + "_ms_count", labels)
            lines.append(f"{count} {values.count}")
        return "\n".join(lines) + "\n"

    def _sorted_counters(self) -> list[tuple[tuple[str, Labels], float]]:
        return sorted(self._counters.items())


def _series_name(name: str, labels: Labels) -> str:
    if not labels:
        return name
    inner = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return f"{name}{{{inner}}}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _summary(values: Histogram) -> dict[str, float]:
    summary = {f"p{p:g}": values.percentile_ms(p) for p in _PERCENTILES}
    return {"count": values.count, **summary}
