"""Property test of publishing with lost answers, outages and races."""

import dataclasses

import hypothesis
import trio
from hypothesis import strategies as st

from lacewingwood.state import entities
from lacewingwood.state import errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import records
from lacewingwood.state import view as view_lib
from tests.state import fakes

_NODES = ("a", "b")


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One call of publish and its result."""

    record_id: str
    result: str = ""
    offset: int = -1


_STEPS = st.one_of(
    st.tuples(
        st.just("publish"),
        st.sampled_from(_NODES),
        st.sampled_from(["x", "y"]),
        st.booleans(),
    ),
    st.tuples(st.just("fail"), st.sampled_from(["lost", "down", "limited"])),
    st.tuples(st.just("is_down"), st.booleans()),
    st.tuples(st.just("reads_fail"), st.booleans()),
    st.tuples(st.just("isolate"), st.sampled_from(_NODES)),
    st.tuples(st.just("advance"), st.sampled_from([50, 500, 5000])),
)


async def _publish(
    node: follower_lib.Follower, name: str, with_base: bool, attempt: _Attempt
) -> None:
    base = node.view.version("customer", name) if with_base else None
    body = records.CustomerPut(records.Customer(name, 1.0, 1))
    try:
        attempt.offset = await node.publish(
            body, based_on=base, record_id=attempt.record_id
        )
        attempt.result = "done"
    except errors.ConflictError:
        attempt.result = "conflict"
    except errors.UnavailableError as exc:
        is_unknown = exc.may_have_taken_effect
        attempt.result = "unknown" if is_unknown else "not_done"


async def _run(steps: list[tuple]) -> tuple[fakes.Cluster, list[_Attempt]]:
    cluster = fakes.Cluster()
    cluster.join(*_NODES)
    nodes = {name: cluster.follower(name) for name in _NODES}
    attempts: list[_Attempt] = []
    async with trio.open_nursery() as nursery:
        for node in nodes.values():
            nursery.start_soon(node.run)
        for step in steps:
            match step:
                case "publish", by, name, with_base:
                    attempts.append(_Attempt(f"attempt-{len(attempts)}"))
                    nursery.start_soon(
                        _publish, nodes[by], name, with_base, attempts[-1]
                    )
                case "fail", failure:
                    cluster.log.failures.append(failure)
                case "isolate", name:
                    cluster.network.isolate(name)
                case "advance", duration_ms:
                    await cluster.run_for(duration_ms, duration_ms / 10)
                case switch, value:
                    setattr(cluster.log, switch, value)
        cluster.log.is_down = cluster.log.reads_fail = False
        await cluster.run_for(20_000, 500)
        a, b = nodes.values()
        assert a.view.encode() == b.view.encode()
        assert a.view.offset == len(cluster.log.entries)
        assert a.fresh()
        nursery.cancel_scope.cancel()
    return cluster, attempts


@hypothesis.given(st.lists(_STEPS, max_size=25))
def test_publish_reports_the_true_outcome(steps: list[tuple]) -> None:
    """Guards against a reported outcome that differs from the log's records.

    The expected outcome comes from a new view that replays the log.
    """
    cluster, attempts = trio.run(_run, steps)
    view = view_lib.View()
    applied: dict[str, int] = {}
    written: set[str] = set()
    for entry in cluster.log.entries:
        record_id = records.decode(entry.data).id
        written.add(record_id)
        outcome = view.apply(entry.offset, entry.data)
        if outcome is entities.Outcome.APPLIED:
            assert record_id not in applied
            applied[record_id] = entry.offset
    for attempt in attempts:
        match attempt.result:
            case "done":
                assert applied[attempt.record_id] == attempt.offset
            case "conflict":
                assert attempt.record_id in written - applied.keys()
            case "not_done":
                assert attempt.record_id not in written
            case result:
                assert result == "unknown"
