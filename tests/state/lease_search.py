"""Exhaustive state search of the lease and freshness protocol.

Processes `a` and `b` claim one lease; `c` only acknowledges claims. A step
applies one of the real decision functions to one process, lets time pass, or
appends a record to the log. Delays and failures are modelled by steps that
don't happen: a pause is a process without steps, an outage is a log without
steps, and a lost answer is a read or an append whose answer is never applied.
So they can occur at any point, in any combination and for any time.

The answer to a read or a ping is applied at the moment of sending. One that
arrives later counts from the same moment, and so can only have less effect.

Times are stored as ages, and offsets only if they make a difference, so that
the number of states is finite.
"""

import collections
import dataclasses
import functools
from collections.abc import Iterator

from lacewingwood.state import entities
from lacewingwood.state import freshness
from lacewingwood.state import leases
from lacewingwood.state import records
from lacewingwood.state import view as view_lib
from tests.state import fakes

_NOW_MS = 1_000_000.0
_NEVER = float("-inf")
_NODES = ("a", "b", "c")
_QUORUM_SETS = {"r": frozenset(_NODES)}
_FIRST_OFFSET = len(_NODES)

# A record: kind, author, base or epoch, whether the claim that is released was
# effective, and number of the record's id.
Entry = tuple[str, str, int, bool, int]
_VOID: Entry = ("void", "", -1, False, -1)


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """State of one claimant; times are relative to the current time."""

    name: str
    applied: int = _FIRST_OFFSET
    evidence_ms: float = _NEVER
    reads: tuple[tuple[float, int], ...] = ()
    answers: tuple[tuple[str, float, int], ...] = ()
    acknowledged: tuple[tuple[str, int], ...] = ()
    waiting: tuple[int, ...] = ()
    effective: tuple[tuple[int, float], ...] = ()
    in_flight: int | None = None
    released: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the whole system; `c` is the offset that process has applied."""

    log: tuple[Entry, ...]
    a: Process
    b: Process
    c: int
    claims: int
    resends: int
    releases: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Length of a time step, and parts of the protocol that tests disable."""

    tick_ms: float = freshness.WINDOW_MS
    timed_from_receipt: bool = False
    release_counts_as_effective: bool = False


def _lease_at(log: tuple[Entry, ...]) -> entities.Lease | None:
    """Returns the lease after the records of `log`."""
    return _view_at(log).leases.get("l")


@functools.cache
def _view_at(log: tuple[Entry, ...]) -> view_lib.View:
    """Returns a real view that has applied the records of `log`."""
    view = view_lib.View()
    for name in _NODES:
        body: records.Body = records.MemberJoined(fakes.member(name))
        _apply(view, records.Record(name, name, body))
    for kind, author, base, effective, number in log:
        body = records.LeaseClaimed("l", author)
        if kind == "release":
            body = records.LeaseReleased("l", author, effective)
        if kind == "void":
            view.apply(view.offset, b"")
        else:
            _apply(view, records.Record(str(number), author, body, base))
    return view


def _apply(view: view_lib.View, record: records.Record) -> None:
    view.apply(view.offset, records.encode(record))


class _LiveProcess:
    """The real objects of one process, created from its state."""

    def __init__(self, log: tuple[Entry, ...], process: Process) -> None:
        self.process = process
        self.log = log
        self.freshness = freshness.Freshness(process.name)
        self.freshness.evidence_ms = _NOW_MS + process.evidence_ms
        self.freshness._log_reads = [
            (_NOW_MS + at, head) for at, head in process.reads
        ]
        self.freshness._answers = {
            node: (_NOW_MS + at, offset) for node, at, offset in process.answers
        }
        self.claims = leases.Claims(process.name)
        self.claims._acknowledged = dict(process.acknowledged)
        self.claims._waiting = {epoch: {"r"} for epoch in process.waiting}
        self.claims._effective_ms = {
            epoch: _NOW_MS + at for epoch, at in process.effective
        }

    @property
    def lease(self) -> entities.Lease | None:
        return _lease_at(self.log[: self.process.applied - _FIRST_OFFSET])

    def usable(self) -> bool:
        lease = self.lease
        if lease is None or lease.epoch in self.process.released:
            return False
        fresh = self.freshness.fresh(_NOW_MS)
        return self.claims.is_usable(lease, _NOW_MS, fresh)

    def to_state(self) -> Process:
        """Updates the objects and returns the new state."""
        self.freshness.update(self.process.applied, _QUORUM_SETS["r"])
        lease = self.lease
        self.claims.update([lease] if lease else [], _QUORUM_SETS, _NOW_MS)
        return dataclasses.replace(
            self.process,
            evidence_ms=_clip_age(self.freshness.evidence_ms - _NOW_MS),
            reads=self._reads(),
            answers=self._answers(),
            acknowledged=self._acknowledged(),
            waiting=tuple(sorted(self.claims._waiting)),
            effective=tuple(
                (epoch, max(0.0, at - _NOW_MS))
                for epoch, at in sorted(self.claims._effective_ms.items())
            ),
        )

    def _reads(self) -> tuple[tuple[float, int], ...]:
        """Leaves out reads superseded by a newer read with a lower head."""
        found = {
            (_clip_age(at - _NOW_MS), h) for at, h in self.freshness._log_reads
        }
        return tuple(
            sorted(
                (at, head)
                for at, head in found
                if _NOW_MS + at > self.freshness.evidence_ms
                and not any(
                    at <= other and head >= shorter
                    for other, shorter in found - {(at, head)}
                )
            )
        )

    def _answers(self) -> tuple[tuple[str, float, int], ...]:
        """Leaves out answers that can't make the evidence any newer.

        Offsets below the applied one make no difference and are raised to it.
        """
        found = [
            (node, _clip_age(at - _NOW_MS), max(offset, self.process.applied))
            for node, (at, offset) in sorted(self.freshness._answers.items())
            if at > self.freshness.evidence_ms
        ]
        return tuple(answer for answer in found if answer[1] > _NEVER)

    def _acknowledged(self) -> tuple[tuple[str, int], ...]:
        """Lowers offsets to those that acknowledge a claim that may wait."""
        epochs = [
            epoch
            for epoch in self._own_claims()
            if self._may_have_to_wait(epoch)
        ]
        found = []
        for node, offset in sorted(self.claims._acknowledged.items()):
            past = [epoch for epoch in epochs if epoch < offset]
            if past:
                found.append((node, past[-1] + 1))
        return tuple(found)

    def _own_claims(self) -> Iterator[int]:
        """Returns the epochs of this process's claims that have to wait."""
        for index, entry in enumerate(self.log):
            lease = _lease_at(self.log[: index + 1])
            mine = entry[:2] == ("claim", self.process.name)
            valid = lease is not None and lease.epoch == _FIRST_OFFSET + index
            if mine and valid and lease is not None and lease.waits_on:
                yield lease.epoch

    def _may_have_to_wait(self, epoch: int) -> bool:
        unread = epoch >= self.process.applied
        return unread or epoch in self.claims._waiting


def _clip_age(age_ms: float) -> float:
    return age_ms if age_ms > -freshness.WINDOW_MS else _NEVER


def search(start: State, rules: Rules, limit: int) -> tuple[int, bool]:
    """Searches all states that can be reached from `start`.

    Returns:
        The number of states found, and whether two processes may use the lease
        at once in one of them.

    Raises:
        RuntimeError: There are more than `limit` states.
    """
    for function in (_usable, _apply_next_record, _read, _answer):
        function.cache_clear()
    seen = {start}
    queue = collections.deque([start])
    while queue:
        state = queue.popleft()
        if _usable(state.log, state.a) and _usable(state.log, state.b):
            return len(seen), True
        for following in _steps(state, rules):
            if following not in seen:
                seen.add(following)
                queue.append(following)
        if len(seen) > limit:
            raise RuntimeError("too many states")
    return len(seen), False


@functools.cache
def _usable(log: tuple[Entry, ...], process: Process) -> bool:
    return _LiveProcess(log, process).usable()


def _steps(state: State, rules: Rules) -> Iterator[State]:
    yield _tick(state, rules.tick_ms)
    if state.c < _FIRST_OFFSET + len(state.log):
        yield dataclasses.replace(state, c=state.c + 1)
    for name in ("a", "b"):
        process: Process = getattr(state, name)
        for following in _process_steps(state, process, rules):
            yield dataclasses.replace(state, **{name: following})
        yield from _log_steps(state, process, rules)


def _tick(state: State, tick_ms: float) -> State:
    a, b = _aged(state.a, tick_ms), _aged(state.b, tick_ms)
    return dataclasses.replace(state, a=a, b=b)


def _aged(process: Process, tick_ms: float) -> Process:
    def age(at: float) -> float:
        return _clip_age(at - tick_ms)

    return dataclasses.replace(
        process,
        evidence_ms=age(process.evidence_ms),
        reads=tuple((age(t), h) for t, h in process.reads if age(t) > _NEVER),
        answers=tuple(
            (n, age(t), o) for n, t, o in process.answers if age(t) > _NEVER
        ),
        effective=tuple(
            (e, max(0.0, t - tick_ms)) for e, t in process.effective
        ),
    )


def _process_steps(
    state: State, process: Process, rules: Rules
) -> Iterator[Process]:
    """Yields the states after steps that change only one process."""
    end = _FIRST_OFFSET + len(state.log)
    if process.applied < end:
        yield _apply_next_record(state.log, process)
    yield _read(state.log, process, end)
    if rules.timed_from_receipt:
        yield dataclasses.replace(process, in_flight=end)
        if process.in_flight is not None:
            answered = dataclasses.replace(process, in_flight=None)
            yield _read(state.log, answered, process.in_flight)
    for peer in _NODES:
        if peer != process.name:
            known = getattr(state, peer)
            offset = known if isinstance(known, int) else known.applied
            yield _answer(state.log, process, peer, offset)


@functools.cache
def _apply_next_record(log: tuple[Entry, ...], process: Process) -> Process:
    """Applies the next record, from the log or from a peer."""
    applied = process.applied + 1
    return _LiveProcess(
        log, dataclasses.replace(process, applied=applied)
    ).to_state()


@functools.cache
def _read(log: tuple[Entry, ...], process: Process, head: int) -> Process:
    """Applies the log's answer to a read that is sent now."""
    live = _LiveProcess(log, process)
    live.freshness.note_log_read(_NOW_MS, head, process.applied)
    return live.to_state()


@functools.cache
def _answer(
    log: tuple[Entry, ...], process: Process, peer: str, offset: int
) -> Process:
    """Applies a peer's answer to a ping that is sent now."""
    live = _LiveProcess(log, process)
    live.freshness.note_answer(peer, _NOW_MS, offset)
    live.claims.note_answer(peer, offset)
    return live.to_state()


def _log_steps(state: State, process: Process, rules: Rules) -> Iterator[State]:
    """Yields the states after the log stores a record of a process.

    No process has read the record yet. The processes are interchangeable, so
    only `a` makes the first claim.
    """
    if state.claims and (state.log or process.name == "a"):
        for base in sorted(_possible_bases(state, process)):
            entry = ("claim", process.name, base, False, len(state.log))
            yield _appended(state, entry, claims=state.claims - 1)
    if state.resends:
        for entry in [e for e in state.log if e[1] == process.name]:
            yield _appended(state, entry, resends=state.resends - 1)
    if state.releases:
        yield from _release(state, process, rules)


def _possible_bases(state: State, process: Process) -> set[int]:
    """Returns all bases the process has seen, as an append may be delayed."""
    counts = range(process.applied - _FIRST_OFFSET + 1)
    return {_view_at(state.log[:n]).version("lease", "l") for n in counts}


def _release(state: State, process: Process, rules: Rules) -> Iterator[State]:
    live = _LiveProcess(state.log, process)
    lease = live.lease
    if lease is None or lease.holder != process.name:
        return
    effective = live.claims.effective_ms(lease) <= _NOW_MS
    flag = effective or rules.release_counts_as_effective
    entry = ("release", process.name, lease.epoch, flag, len(state.log))
    stopped = dataclasses.replace(
        process, released=process.released | {lease.epoch}
    )
    released = dataclasses.replace(state, **{process.name: stopped})
    yield _appended(released, entry, releases=state.releases - 1)


def _appended(state: State, entry: Entry, **budget: int) -> State:
    """Appends a record; all records without effect are treated as equal."""
    before, after = _view_at(state.log), _view_at((*state.log, entry))
    if before.versions == after.versions:
        entry = _VOID
    return dataclasses.replace(state, log=(*state.log, entry), **budget)


def start(claims: int, resends: int, releases: int) -> State:
    """Returns the state before the first claim."""
    return State(
        (), Process("a"), Process("b"), _FIRST_OFFSET, claims, resends, releases
    )
