"""The shared state, computed from the records on `control`.

Every process applies the same records in the same order and so has the same
view. This module does no I/O and reads no clock.
"""

import collections
import heapq
from typing import Any

import msgspec

from lacewingwood.state import entities
from lacewingwood.state import errors
from lacewingwood.state import records
from lacewingwood.state import rules

# Number of record ids kept to recognise resends. Publishers resend for some
# seconds at most; at the log's limit of a few hundred appends a second, this
# number of ids covers half a minute.
RECENT_IDS = 16_384

# How long an ended job can still be read, by the wall clock.
JOB_RETENTION_MS = 3 * 24 * 3600 * 1000

# One record advances the view's wall clock by at most this time, so that a
# writer with a wrong clock can't make all ended jobs disappear.
_MAX_CLOCK_STEP_MS = 24 * 3600 * 1000


class _EncodedView(msgspec.Struct):
    """Encoding of a view in a snapshot.

    It contains the records that determine the current state, as stored on the
    log, so that a newer version of the program finds in them fields and types
    that an older version ignored.
    """

    offset: int
    now_ms: int
    records: list[tuple[int, bytes]]
    versions: list[tuple[str, str, int]]
    leases: list[entities.Lease]
    withdrawn: list[tuple[str, entities.Key]]
    withdrawn_ids: list[str]
    recent: list[tuple[str, int, entities.Outcome]]


_FIELDS = frozenset(
    field.name for field in msgspec.structs.fields(_EncodedView)
)


class View:
    """The shared state as of an offset of `control`.

    Attributes:
        offset: All records with offsets below this have been applied.
        customers: Customers by name.
        keys: Keys by digest, withdrawn ones included.
        routes: Routes by name.
        models: Models by name.
        members: Processes by node id.
        leases: Leases by name.
        jobs: Jobs by id, until some time after their end.
        versions: Offset of the last change of an entity (kind, name). Kinds
            are `customer`, `key` (by key id), `route`, `model`, `member`,
            `lease` and `job`; an entity that was never changed has -1.
        last_snapshot: Offset of the last part of the last snapshot that this
            process read, -1 if none.
        counts: Number of records for each outcome in this process.
    """

    __slots__ = (
        "_clock_ms",
        "_digests_by_key_id",
        "_job_ends",
        "_recent",
        "_retained",
        "_unknown_fields",
        "_withdrawn_ids",
        "counts",
        "customers",
        "jobs",
        "keys",
        "last_snapshot",
        "leases",
        "members",
        "models",
        "offset",
        "routes",
        "versions",
    )

    def __init__(self) -> None:
        self.offset = 0
        self.customers: dict[str, records.Customer] = {}
        self.keys: dict[str, entities.Key] = {}
        self.routes: dict[str, records.Route] = {}
        self.models: dict[str, records.Model] = {}
        self.members: dict[str, records.Member] = {}
        self.leases: dict[str, entities.Lease] = {}
        self.jobs: dict[str, entities.JobState] = {}
        self.versions: dict[entities.Entity, int] = {}
        self.last_snapshot = -1
        self.counts: collections.Counter[entities.Outcome] = (
            collections.Counter()
        )
        self._digests_by_key_id: dict[str, str] = {}
        self._withdrawn_ids: set[str] = set()
        self._recent: dict[str, entities.RecordResult] = {}
        self._retained: dict[entities.Entity, list[tuple[int, bytes]]] = {}
        self._job_ends: list[tuple[int, str]] = []
        self._clock_ms = 0
        self._unknown_fields: dict[str, msgspec.Raw] = {}

    @property
    def unknown_records(self) -> list[tuple[int, bytes]]:
        """Records of unknown types with their offsets."""
        kept = (r for (k, _), r in self._retained.items() if k == "unknown")
        return [pair for pairs in kept for pair in pairs]

    def version(self, kind: str, name: str) -> int:
        """Returns the offset of an entity's last change, -1 if none."""
        return self.versions.get((kind, name), -1)

    def result_of(self, record_id: str) -> entities.RecordResult | None:
        """Returns the result of a recent record, None if it is unknown."""
        return self._recent.get(record_id)

    def key_id_used(self, key_id: str) -> bool:
        """Returns whether a key id was ever put or withdrawn."""
        return (
            key_id in self._digests_by_key_id or key_id in self._withdrawn_ids
        )

    def authenticate(self, digest: str) -> str | None:
        """Returns the customer of a key, None if the key is not valid."""
        key = self.keys.get(digest)
        if key is None or key.withdrawn or key.customer not in self.customers:
            return None
        return key.customer

    def apply(self, offset: int, data: bytes) -> entities.Outcome:
        """Applies the record at `offset`.

        Raises:
            ValueError: Records before `offset` are missing.
        """
        if offset > self.offset:
            raise ValueError(f"expected offset {self.offset}, got {offset}")
        outcome = entities.Outcome.REPEAT
        if offset == self.offset:
            self.offset = offset + 1
            outcome = self._apply_data(offset, data)
        self.counts[outcome] += 1
        return outcome

    def encode(self) -> bytes:
        """Returns the encoded view; equal views have equal encodings."""
        kept = sorted(p for pairs in self._retained.values() for p in pairs)
        encoded = _EncodedView(
            self.offset,
            self._clock_ms,
            kept,
            sorted((k, n, offset) for (k, n), offset in self.versions.items()),
            [lease for _, lease in sorted(self.leases.items())],
            [(d, key) for d, key in sorted(self.keys.items()) if key.withdrawn],
            sorted(self._withdrawn_ids),
            [(i, s.offset, s.outcome) for i, s in self._recent.items()],
        )
        fields = msgspec.structs.asdict(encoded)
        return msgspec.msgpack.encode(fields | self._unknown_fields)

    def _apply_data(self, offset: int, data: bytes) -> entities.Outcome:
        try:
            record = records.decode(data)
        except errors.BadRecordError:
            return entities.Outcome.BAD
        if record.id in self._recent:
            return entities.Outcome.REPEAT
        outcome = self._apply_record(offset, record, data)
        self._recent[record.id] = entities.RecordResult(offset, outcome)
        if len(self._recent) > RECENT_IDS:
            del self._recent[next(iter(self._recent))]
        return outcome

    def _apply_record(
        self,
        offset: int,
        record: records.Record | records.UnknownRecord,
        data: bytes,
    ) -> entities.Outcome:
        if isinstance(record, records.UnknownRecord):
            self._retained["unknown", str(offset)] = [(offset, data)]
            return entities.Outcome.UNKNOWN
        if isinstance(record.body, records.Snapshot):
            if record.body.part == record.body.parts - 1:
                self.last_snapshot = offset
            return entities.Outcome.APPLIED
        if not self._base_is_current(record) or not rules.allows(
            self, record.body
        ):
            return entities.Outcome.VOID
        self._make_change(offset, record, data)
        self._advance_clock(record.body)
        return entities.Outcome.APPLIED

    def _base_is_current(self, record: records.Record) -> bool:
        if record.based_on is None:
            return True
        return record.based_on == self.version(*entities.entity(record.body))

    def _make_change(
        self, offset: int, record: records.Record, data: bytes
    ) -> None:
        """Applies an allowed change and retains its record for snapshots."""
        kind, name = entities.entity(record.body)
        prior = self.version(kind, name)
        self.versions[kind, name] = offset
        match record.body:
            case (
                records.CustomerPut() | records.RoutePut() | records.ModelPut()
            ):
                self._tables()[kind][name] = getattr(record.body, kind)
                self._retained[kind, name] = [(offset, data)]
            case records.CustomerDeleted():
                self._delete_customer(name)
            case records.RouteDeleted() | records.ModelDeleted():
                self._tables()[kind].pop(name, None)
                self._retained.pop((kind, name), None)
            case records.KeyPut(_, digest, customer):
                self.keys[digest] = entities.Key(name, customer)
                self._digests_by_key_id[name] = digest
                self._retained[kind, name] = [(offset, data)]
            case records.KeyWithdrawn():
                self._withdraw_key(name)
            case records.MemberJoined(member):
                self._add_member(member)
                self._retained[kind, name] = [(offset, data)]
            case records.MemberLeft():
                self._remove_member(
                    name, offset, is_voluntary=record.by == name
                )
            case records.LeaseClaimed(_, holder):
                self._claim_lease(name, holder, offset, prior)
                self._retained[kind, name] = [(offset, data)]
            case records.LeaseReleased(_, _, effective):
                self._release_lease(name, offset, effective)
            case records.JobAccepted(job):
                self.jobs[name] = entities.JobState(job)
                self._retained[kind, name] = [(offset, data)]
            case records.JobCancelled() | records.JobFinished():
                self._end_job(name, record.body)
                kept = self._retained.setdefault((kind, name), [])
                kept.append((offset, data))

    def _delete_customer(self, name: str) -> None:
        self.customers.pop(name, None)
        self._retained.pop(("customer", name), None)
        for key in list(self.keys.values()):
            if key.customer == name and not key.withdrawn:
                self._withdraw_key(key.key_id)

    def _withdraw_key(self, key_id: str) -> None:
        self._withdrawn_ids.add(key_id)
        self._retained.pop(("key", key_id), None)
        if key_id in self._digests_by_key_id:
            self.keys[self._digests_by_key_id[key_id]].withdrawn = True

    def _add_member(self, member: records.Member) -> None:
        """Adds a member and removes the earlier members that it replaces.

        A host runs one process of each role, and an address belongs to one
        process, so an earlier member on the same host with the same role, or
        at the same address, is dead.
        """
        for other in list(self.members.values()):
            same_host = other.host == member.host != ""
            same_place = same_host and other.role == member.role
            if same_place or other.address == member.address:
                self._remove("member", other.node_id)
        self.members[member.node_id] = member

    def _remove_member(
        self, node_id: str, offset: int, is_voluntary: bool
    ) -> None:
        self._remove("member", node_id)
        if not is_voluntary:
            return
        for lease in list(self.leases.values()):
            if lease.holder == node_id:
                self._release_lease(lease.name, offset, not lease.waits_on)

    def _claim_lease(
        self, name: str, holder: str, offset: int, prior: int
    ) -> None:
        earlier = self.leases.get(name)
        waits_on: tuple[str, ...] = ()
        if earlier is not None:
            mine = {earlier.region} if earlier.holder else set()
            waits_on = tuple(sorted({*earlier.waits_on, *mine}))
        member = self.members.get(holder)
        region = member.region if member is not None else ""
        self.leases[name] = entities.Lease(
            name, holder, offset, region, waits_on, prior
        )

    def _release_lease(self, name: str, offset: int, effective: bool) -> None:
        """Frees a lease.

        If the claim never took effect, the next claim has to wait for the same
        regions, as an earlier holder there may still use the lease. The
        version stays, so that a later claim is not taken for the first one.
        """
        lease = self.leases.get(name)
        if lease is None or effective or not lease.waits_on:
            self._remove("lease", name)
            self.versions["lease", name] = offset
            return
        self.leases[name] = entities.Lease(
            name, "", lease.epoch, "", lease.waits_on
        )
        self.versions["lease", name] = offset
        self._retained.pop(("lease", name), None)

    def _end_job(
        self, job_id: str, body: records.JobCancelled | records.JobFinished
    ) -> None:
        state = self.jobs.get(job_id)
        if state is None:
            return
        match body:
            case records.JobCancelled(_, at_ms):
                state.cancelled_ms = at_ms
                state.status = "cancelled"
            case records.JobFinished(_, completed, failed, at_ms):
                state.finished_ms = at_ms
                state.completed = completed
                state.failed = failed
                if state.status == "accepted":
                    state.status = "finished"
        heapq.heappush(self._job_ends, (body.at_ms, job_id))

    def _advance_clock(self, body: records.Body) -> None:
        """Advances the wall clock and removes jobs that ended long ago."""
        match body:
            case records.JobAccepted(job):
                at_ms = job.created_ms
            case records.JobCancelled() | records.JobFinished():
                at_ms = body.at_ms
            case _:
                return
        limit = self._clock_ms + _MAX_CLOCK_STEP_MS if self._clock_ms else at_ms
        self._clock_ms = max(self._clock_ms, min(at_ms, limit))
        while (
            self._job_ends
            and self._job_ends[0][0] + JOB_RETENTION_MS < self._clock_ms
        ):
            self._expire_job(*heapq.heappop(self._job_ends))

    def _expire_job(self, end_ms: int, job_id: str) -> None:
        state = self.jobs.get(job_id)
        if state is None or state.ended_ms() != end_ms:
            return
        self._remove("job", job_id)
        self._remove("lease", f"job/{job_id}")

    def _replay(self, offset: int, data: bytes) -> None:
        """Applies a record that a snapshot contains."""
        record = records.decode(data)
        if isinstance(record, records.UnknownRecord):
            self._retained["unknown", str(offset)] = [(offset, data)]
        else:
            self._make_change(offset, record, data)

    def _restore_remaining(self, encoded: _EncodedView) -> None:
        """Restores the state that a snapshot's records don't determine."""
        self._clock_ms = encoded.now_ms
        for kind, name, offset in encoded.versions:
            self.versions[kind, name] = offset
        self.leases = {lease.name: lease for lease in encoded.leases}
        self._withdrawn_ids = set(encoded.withdrawn_ids)
        for digest, key in encoded.withdrawn:
            self.keys[digest] = key
            self._digests_by_key_id[key.key_id] = digest
        for record_id, offset, outcome in encoded.recent:
            self._recent[record_id] = entities.RecordResult(offset, outcome)

    def _tables(self) -> dict[str, dict[str, Any]]:
        return {
            "customer": self.customers,
            "route": self.routes,
            "model": self.models,
            "member": self.members,
            "lease": self.leases,
            "job": self.jobs,
        }

    def _remove(self, kind: str, name: str) -> None:
        """Removes an entity, its version and its retained records.

        Only for entities whose name is never used again, or whose version the
        caller sets anew.
        """
        self._tables()[kind].pop(name, None)
        self.versions.pop((kind, name), None)
        self._retained.pop((kind, name), None)


def decode(data: bytes) -> View:
    """Returns the view that `View.encode` wrote.

    Raises:
        errors.BadRecordError: `data` is not an encoded view.
    """
    try:
        fields = msgspec.msgpack.decode(data, type=dict[str, msgspec.Raw])
        encoded = msgspec.msgpack.decode(data, type=_EncodedView)
        return _restore(encoded, fields)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise errors.BadRecordError(f"invalid encoded view: {exc}") from exc


def _restore(encoded: _EncodedView, fields: dict[str, msgspec.Raw]) -> View:
    view = View()
    view.offset = encoded.offset
    for offset, data in encoded.records:
        view._replay(offset, data)
    view._restore_remaining(encoded)
    unknown = fields.keys() - _FIELDS
    view._unknown_fields = {
        name: fields[name].copy() for name in sorted(unknown)
    }
    return view
