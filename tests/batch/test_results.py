"""Results on the log with several owners and lost acknowledgements."""

import msgspec
import trio
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.batch import errors
from lacewingwood.batch import recorder
from lacewingwood.batch import results
from tests.batch import fakes

_ITEMS = 12


class _Clock:
    """A clock that advances only when it is slept on."""

    def __init__(self) -> None:
        self.now = 0.0

    def now_ms(self) -> float:
        return self.now

    async def sleep_ms(self, duration_ms: float) -> None:
        await trio.lowlevel.checkpoint()
        self.now += duration_ms


class ResultsMachine(stateful.RuleBasedStateMachine):
    """Replaces owners, lets superseded ones record and loses appends' answers.

    Guards against results that are counted twice, change or disappear, and
    against an owner that considers an incomplete job complete.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = fakes.Log()
        self.owners: list[tuple[int, recorder.Recorder]] = []
        self.epoch = 0
        self.last_valid: dict[int, bytes] = {}
        self.response_count = 0
        self.added: set[tuple[int, int]] = set()

    @stateful.rule(losses=st.lists(st.booleans(), max_size=3))
    def start_owner(self, losses: list[bool]) -> None:
        self.epoch += 1
        self.log.loses_answer = losing(losses)
        owner = recorder.Recorder(
            self.log, _Clock(), "j", self.epoch, f"w{self.epoch}"
        )
        trio.run(owner.start)
        self.owners.append((self.epoch, owner))
        valid = self.valid()
        assert {i for i in range(_ITEMS) if i in owner.replay.done} == set(
            valid
        )

    @stateful.precondition(lambda self: self.owners)
    @stateful.rule(data=st.data())
    def end_item(self, data: st.DataObject) -> None:
        epoch, owner = data.draw(st.sampled_from(self.owners))
        index = data.draw(st.integers(0, _ITEMS - 1))
        if index not in owner.replay.done and (epoch, index) not in self.added:
            self.added.add((epoch, index))
            self.response_count += 1
            response = b"%d by %d" % (self.response_count, epoch)
            failed = "code" if self.response_count % 3 == 0 else ""
            owner.add(results.Result(index, "c", 200, response, failed))

    @stateful.precondition(lambda self: self.owners)
    @stateful.rule(data=st.data(), losses=st.lists(st.booleans(), max_size=4))
    def flush(self, data: st.DataObject, losses: list[bool]) -> None:
        entry = data.draw(st.sampled_from(self.owners))
        epoch, owner = entry
        self.log.loses_answer = losing(losses)
        try:
            trio.run(owner.flush)
        except errors.SupersededError:
            assert epoch < self.epoch
            self.owners.remove(entry)
            return
        valid = self.valid()
        progress = owner.replay.progress
        done = {i for i in range(_ITEMS) if i in owner.replay.done}
        assert done <= set(valid)
        assert progress.completed + progress.failed == len(done)

    @stateful.precondition(lambda self: self.owners)
    @stateful.rule(data=st.data())
    def flush_during_outage(self, data: st.DataObject) -> None:
        _, owner = data.draw(st.sampled_from(self.owners))
        pending = owner.pending
        self.log.down = True
        if pending:
            try:
                trio.run(owner.flush)
                raise AssertionError(
                    "results were recorded while the log was down"
                )
            except errors.UnavailableError:
                pass
        self.log.down = False
        assert owner.pending == pending

    @stateful.invariant()
    def results_never_change(self) -> None:
        valid = self.valid()
        assert self.last_valid.items() <= valid.items()
        self.last_valid = valid
        assert trio.run(self._read) == valid

    @stateful.invariant()
    def counts_are_never_too_high(self) -> None:
        progress = trio.run(results.read_progress, self.log, "j")
        assert progress.completed + progress.failed <= len(self.valid())

    async def _read(self) -> dict[int, bytes]:
        found = [r async for r in results.read_results(self.log, "j")]
        answers = {r.index: r.response for r in found}
        assert len(answers) == len(found)
        return answers

    def valid(self) -> dict[int, bytes]:
        """Returns the valid results by an independent implementation."""
        newest = -1
        found: dict[int, bytes] = {}
        for data in self.log.streams.get("job/j", []):
            record = msgspec.msgpack.decode(data)
            if record["epoch"] < newest:
                continue
            newest = record["epoch"]
            for index, _, _, response, *_ in record.get("items", []):
                found.setdefault(index, response)
        return found


def losing(losses: list[bool]):
    left = list(losses)
    return lambda: bool(left) and left.pop()


TestResults = ResultsMachine.TestCase
