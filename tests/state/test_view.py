"""Tests of the view and of snapshots."""

import contextlib
from typing import Any

import hypothesis
import msgspec
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.state import entities
from lacewingwood.state import errors
from lacewingwood.state import records
from lacewingwood.state import snapshot
from lacewingwood.state import view as view_lib
from tests.state import fakes

_DAY_MS = 24 * 3600 * 1000
_NAMES = st.sampled_from(["x", "y", "z"])
_NODES = st.sampled_from(["n1", "n2", "n3"])
_TIMES = st.integers(0, 20).map(lambda days: days * _DAY_MS)


def _job(job_id: str, customer: str, at_ms: int) -> records.Job:
    return records.Job(job_id, customer, "f", "/v1", 3, at_ms, at_ms)


def _member(node_id: str, address: str) -> records.Member:
    return records.Member(node_id, "entry", address, "z", f"r-{address}")


_BODIES = st.one_of(
    st.builds(
        lambda name, rate: records.CustomerPut(records.Customer(name, rate, 1)),
        _NAMES,
        st.integers(1, 3),
    ),
    st.builds(records.CustomerDeleted, _NAMES),
    st.builds(records.KeyPut, _NAMES, _NAMES, _NAMES),
    st.builds(records.KeyWithdrawn, _NAMES),
    st.builds(
        lambda name, prefix: records.RoutePut(
            records.Route(name, "/" + prefix, "s")
        ),
        _NAMES,
        _NAMES,
    ),
    st.builds(records.RouteDeleted, _NAMES),
    st.builds(
        lambda name, v: records.ModelPut(records.Model(name, "s", v)),
        _NAMES,
        _NAMES,
    ),
    st.builds(records.ModelDeleted, _NAMES),
    st.builds(
        lambda node, address: records.MemberJoined(_member(node, address)),
        _NODES,
        _NAMES,
    ),
    st.builds(records.MemberLeft, _NODES),
    st.builds(records.LeaseClaimed, _NAMES, _NODES),
    st.builds(records.LeaseReleased, _NAMES, _NODES, st.booleans()),
    st.builds(
        lambda *args: records.JobAccepted(_job(*args)), _NAMES, _NAMES, _TIMES
    ),
    st.builds(records.JobCancelled, _NAMES, _TIMES),
    st.builds(
        records.JobFinished, _NAMES, st.integers(0, 3), st.just(0), _TIMES
    ),
)


def _with_extra_fields(data: bytes) -> bytes:
    """Adds fields to a record and its body, as a newer version may do."""
    fields = msgspec.msgpack.decode(data)
    fields["trace"] = "t"
    fields["body"]["reason"] = {"why": [1, 2]}
    for value in fields["body"].values():
        if isinstance(value, dict):
            value["tier"] = "gold"
    return msgspec.msgpack.encode(fields)


def _through_snapshot(
    view: view_lib.View, part_bytes: int
) -> view_lib.View | None:
    assembler = snapshot.Assembler()
    parts = snapshot.split(view, "s", part_bytes)
    for part in reversed(parts):
        data = records.encode(records.Record("i", "n", part))
        body = records.decode(data).body
        assert isinstance(body, records.Snapshot)
        assembler.add(body)
    return assembler.newest


class _Views(stateful.RuleBasedStateMachine):
    """Compares a view that reads the whole log with one from snapshots."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.direct = view_lib.View()
        self.indirect = view_lib.View()
        self.unknown: list[tuple[int, bytes]] = []
        self.withdrawn_ids: set[str] = set()
        self.withdrawn_digests: set[str] = set()

    def _append(self, data: bytes) -> entities.Outcome:
        offset = len(self.log)
        self.log.append(data)
        outcome = self.direct.apply(offset, data)
        assert self.indirect.apply(offset, data) is outcome
        return outcome

    @stateful.rule(
        body=_BODIES,
        by=_NODES,
        base=st.sampled_from(["none", "current", "stale"]),
        extra=st.booleans(),
    )
    def change(
        self, body: records.Body, by: str, base: str, extra: bool
    ) -> None:
        kind, name = entities.entity(body)
        current = self.direct.version(kind, name)
        based_on = {"none": None, "current": current, "stale": current - 1}
        record = records.Record(f"id-{len(self.log)}", by, body, based_on[base])
        data = records.encode(record)
        keys_before = {d: k.key_id for d, k in self.direct.keys.items()}
        customers = {d: k.customer for d, k in self.direct.keys.items()}
        outcome = self._append(_with_extra_fields(data) if extra else data)
        if base == "stale":
            assert outcome is entities.Outcome.VOID
        if outcome is not entities.Outcome.APPLIED:
            return
        if isinstance(body, records.KeyWithdrawn):
            self.withdrawn_ids.add(body.key_id)
            found = {d for d, k in keys_before.items() if k == body.key_id}
            self.withdrawn_digests |= found
        if isinstance(body, records.CustomerDeleted):
            found = {d for d, c in customers.items() if c == body.name}
            self.withdrawn_digests |= found

    @stateful.precondition(lambda self: self.log)
    @stateful.rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        earlier = data.draw(st.sampled_from(self.log))
        outcome = self._append(earlier)
        assert outcome in (entities.Outcome.REPEAT, entities.Outcome.BAD)

    @stateful.rule(new_version=st.booleans())
    def unknown_record(self, new_version: bool) -> None:
        fields: dict[str, Any] = {
            "id": f"id-{len(self.log)}",
            "by": "later",
            "v": 2 if new_version else 1,
            "body": {"type": "member_left" if new_version else "quota_put"},
        }
        data = msgspec.msgpack.encode(fields)
        self.unknown.append((len(self.log), data))
        assert self._append(data) is entities.Outcome.UNKNOWN

    @stateful.rule(data=st.binary(max_size=30))
    def bad_record(self, data: bytes) -> None:
        assert self._append(data) is entities.Outcome.BAD

    @stateful.rule(part_bytes=st.integers(50, 3000))
    def start_from_a_snapshot(self, part_bytes: int) -> None:
        view = _through_snapshot(self.indirect, part_bytes)
        assert view is not None
        self.indirect = view

    @stateful.invariant()
    def views_agree(self) -> None:
        for name in view_lib.View.__slots__:
            if not name.startswith("_") and name not in (
                "counts",
                "last_snapshot",
            ):
                ours = getattr(self.direct, name)
                assert getattr(self.indirect, name) == ours, name
        assert self.direct.encode() == self.indirect.encode()

    @stateful.invariant()
    def unknown_records_are_kept(self) -> None:
        assert sorted(self.indirect.unknown_records) == self.unknown

    @stateful.invariant()
    def withdrawn_stays_withdrawn(self) -> None:
        for digest, key in self.direct.keys.items():
            gone = digest in self.withdrawn_digests
            gone = gone or key.key_id in self.withdrawn_ids
            gone = gone or key.customer not in self.direct.customers
            valid = self.direct.authenticate(digest) is not None
            assert valid == (not gone)

    @stateful.invariant()
    def references_hold(self) -> None:
        addresses = [m.address for m in self.direct.members.values()]
        assert len(addresses) == len(set(addresses))
        for (kind, _), offset in self.direct.versions.items():
            assert 0 <= offset < self.direct.offset, kind


TestViews = _Views.TestCase
TestViews.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def _apply(view: view_lib.View, *bodies: records.Body) -> None:
    for body in bodies:
        record = records.Record(f"id-{view.offset}", "op", body)
        view.apply(view.offset, records.encode(record))


def test_unknown_fields_survive_two_versions() -> None:
    """Guards against an older process that drops fields of a newer one.

    The fields are in a record, in an entity and in the snapshot itself.
    """
    view = view_lib.View()
    body = records.CustomerPut(records.Customer("c", 1, 1))
    data = _with_extra_fields(records.encode(records.Record("i", "op", body)))
    view.apply(0, data)
    fields = msgspec.msgpack.decode(view.encode())
    fields["quotas"] = {"c": [1, 2, 3]}
    older = view_lib.decode(msgspec.msgpack.encode(fields))
    _apply(older, records.CustomerPut(records.Customer("d", 1, 1)))
    again = msgspec.msgpack.decode(view_lib.decode(older.encode()).encode())
    assert again["quotas"] == {"c": [1, 2, 3]}
    assert [0, data] in again["records"]


def test_ended_jobs_are_dropped() -> None:
    """Guards against memory that grows with each job, and wrong clocks.

    Running jobs stay, and a single record with a time far in the future must
    not remove jobs that ended recently.
    """
    view = view_lib.View()
    put = records.CustomerPut(records.Customer("c", 1, 1))
    _apply(view, put, *_accepted("old", "running", "recent"))
    _apply(view, records.MemberJoined(fakes.member("n")))
    _apply(view, records.LeaseClaimed("job/old", "n"))
    _apply(view, records.JobFinished("old", 3, 0, _DAY_MS))
    _apply(view, records.JobFinished("recent", 3, 0, 2 * _DAY_MS))
    assert set(view.jobs) == {"old", "running", "recent"}
    _apply(view, *_accepted("new", at_ms=10_000 * _DAY_MS))
    assert set(view.jobs) == {"old", "running", "recent", "new"}
    for day in range(3, 7):
        _apply(view, records.JobAccepted(_job(str(day), "c", day * _DAY_MS)))
    assert not set(view.jobs) & {"old", "recent"}
    assert {"running", "new"} <= set(view.jobs)
    assert "job/old" not in view.leases
    assert view_lib.decode(view.encode()).jobs == view.jobs


def _accepted(*names: str, at_ms: int = _DAY_MS) -> list[records.Body]:
    return [records.JobAccepted(_job(name, "c", at_ms)) for name in names]


def test_number_of_kept_ids_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a view that keeps the id of each record for ever."""
    monkeypatch.setattr(view_lib, "RECENT_IDS", 3)
    view = view_lib.View()
    _apply(view, *[records.KeyWithdrawn(str(index)) for index in range(5)])
    assert view.result_of("id-1") is None
    assert view.result_of("id-2") == entities.RecordResult(
        2, entities.Outcome.APPLIED
    )


@hypothesis.given(st.data())
def test_damaged_bytes_never_stop_a_process(data: st.DataObject) -> None:
    """Guards against an invalid record or snapshot that stops all processes."""
    view = view_lib.View()
    body = data.draw(_BODIES)
    whole = records.encode(records.Record("id", "op", body, -1))
    view.apply(0, _damaged(data, whole))
    _apply(view, body)
    assert view.offset == 2
    with contextlib.suppress(errors.BadRecordError):
        view_lib.decode(_damaged(data, view.encode()))


def _damaged(data: st.DataObject, whole: bytes) -> bytes:
    start = data.draw(st.integers(0, len(whole)))
    end = data.draw(st.integers(start, len(whole)))
    return whole[:start] + data.draw(st.binary(max_size=4)) + whole[end:]


def test_incomplete_or_damaged_snapshots_are_ignored() -> None:
    """Guards against a view from an incomplete or an older snapshot."""
    view = view_lib.View()
    _apply(view, *[records.KeyWithdrawn(str(index)) for index in range(9)])
    older = view_lib.decode(view.encode())
    _apply(view, records.KeyWithdrawn("9"))
    assembler = snapshot.Assembler()
    parts = snapshot.split(view, "new", 100)
    for part in parts[:-1]:
        assert not assembler.add(part)
    [whole] = snapshot.split(older, "old")
    assert assembler.add(whole)
    assert not assembler.add(
        records.Snapshot("bad", 99, 0, 1, b"not an encoded view")
    )
    assert assembler.add(parts[-1])
    assert not assembler.add(whole)
    assert assembler.newest is not None
    assert assembler.newest.encode() == view.encode()


def test_only_the_first_claim_ever_counts_as_first() -> None:
    """Guards against a full bucket at each claim of a bucket part's lease.

    A restart of all processes would then admit a second burst.
    """
    view = view_lib.View()
    member = records.Member("a", "entry", "127.0.0.1:1", "z", "r")
    bodies: list[tuple[str, records.Body]] = [
        ("a", records.MemberJoined(member)),
        ("a", records.LeaseClaimed("limit/0/0", "a")),
        ("a", records.LeaseReleased("limit/0/0", "a", True)),
        ("a", records.LeaseClaimed("limit/0/0", "a")),
    ]
    seen = []
    for index, (by, body) in enumerate(bodies):
        record = records.Record(str(index), by, body)
        view.apply(view.offset, records.encode(record))
        lease = view.leases.get("limit/0/0")
        seen.append(lease.is_first_claim if lease is not None else None)
    assert seen == [None, True, None, False]
