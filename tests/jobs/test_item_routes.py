"""Tests of the routes of batch items."""

import dataclasses

import msgspec

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import item_routes
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.jobs import running
from lacewingwood.jobs import scheduler as schedulers
from tests.jobs import fakes
from tests.routing import test_dispatcher

_ROUTE = configuration.Route(
    name="r",
    host="h.example",
    path_prefix="/p/",
    kind=configuration.RouteKind.BATCH,
    targets=(configuration.Target("s", 1.0),),
)
_ACCEPTED_VERSION = 7


def _configuration(
    version: int, *routes: configuration.Route
) -> configuration.Configuration:
    return configuration.Configuration(version, list(routes), [])


def _job() -> records.Job:
    return msgspec.structs.replace(
        fakes.make_job("job", 1).job, configuration_version=_ACCEPTED_VERSION
    )


@dataclasses.dataclass(slots=True)
class _Gateway:
    """A scheduler with one item and no replica, and its configuration."""

    current: configuration.Configuration | None
    clock: clocks.ManualClock = dataclasses.field(
        default_factory=clocks.ManualClock
    )
    results: list[records.Result] = dataclasses.field(default_factory=list)

    def run_rounds(self, duration_ms: int) -> None:
        """Runs scheduling rounds, without a free slot."""
        scheduler = self._make_scheduler()
        for _ in range(0, duration_ms, 100):
            self.clock.advance(100)
            scheduler._start_waiting()

    def _make_scheduler(self) -> schedulers.Scheduler:
        metrics = metrics_lib.Registry()
        dispatcher = test_dispatcher.make(replicas=0, slots=1, clock=self.clock)
        scheduler = schedulers.Scheduler(
            dispatcher,
            running.ItemRunner(dispatcher, None, self.clock, metrics),  # type: ignore[arg-type]
            lambda: self.current,
            lambda: (0, 1),
            self.clock,
            lambda: round(self.clock.now_ms()),
            metrics,
        )
        task = item_tasks.ItemTask(_job(), 0, payloads.Payload(b""))
        scheduler.add(task, lambda task, result: self.results.append(result))
        return scheduler


def test_item_is_kept_while_the_gateway_has_no_configuration() -> None:
    """Guards against giving up items after a restart in a log outage (MIXED).

    A gateway without a configuration took the route of each item for removed.
    """
    gateway = _Gateway(None)
    gateway.run_rounds(30_000)
    assert not gateway.results


def test_item_is_kept_under_a_configuration_older_than_its_job() -> None:
    """Guards against giving up items at a gateway that lags behind (MIXED)."""
    for version in (_ACCEPTED_VERSION - 1, _ACCEPTED_VERSION):
        gateway = _Gateway(_configuration(version))
        gateway.run_rounds(30_000)
        assert not gateway.results


def test_item_is_kept_while_its_route_has_no_targets() -> None:
    """Guards against giving up items of a route that still exists (MIXED)."""
    route = msgspec.structs.replace(_ROUTE, targets=())
    gateway = _Gateway(_configuration(_ACCEPTED_VERSION + 1, route))
    gateway.run_rounds(30_000)
    assert not gateway.results


def test_item_is_given_up_after_its_route_was_removed() -> None:
    """Guards against items that are never listed (LOST)."""
    gateway = _Gateway(_configuration(_ACCEPTED_VERSION + 1))
    gateway.run_rounds(3_000)
    assert not gateway.results
    gateway.run_rounds(6_000)
    assert [result.completed for result in gateway.results] == [False]


def test_item_is_given_up_after_its_retention() -> None:
    """Guards against items that are kept for ever without a configuration."""
    gateway = _Gateway(None)
    gateway.run_rounds(60_000 + records.MAX_CLOCK_SKEW_MS + 100)
    assert [result.completed for result in gateway.results] == [False]


def test_route_is_found_by_the_target_of_the_item() -> None:
    """Guards against running an item at the service of another route."""
    job = _job()
    current = _configuration(_ACCEPTED_VERSION, _ROUTE)
    assert item_routes.find(current, job, job.items[0]) is _ROUTE
    other = records.Item("other", "/q/1", [], 1)
    assert item_routes.find(current, job, other) is item_routes.NoRoute.UNKNOWN
