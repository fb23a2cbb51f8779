"""Tests of what is quarantined after replicas have crashed."""

import hypothesis
from hypothesis import strategies as st

from lacewingwood.routing import directory
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.upstreams import runs

_MINUTE_MS = 60_000.0


def _work(number: int, *parts: str, customer: str = "kaje") -> runs.Work:
    """Returns a request with the given shared parts and one of its own."""
    return runs.Work(
        request_id=f"id-{number}",
        method="POST",
        target=b"/p",
        headers=[],
        body=b"body %d" % number,
        customer=customer,
        prompt=(*parts, f"own-{number}"),
    )


def _replica(number: int) -> directory.Listing:
    return directory.Listing(
        f"i-{number}", "s", "127.0.0.1:1", "a", slots=8, started_ms=1
    )


def _crash(
    quarantine: quarantines.Quarantine,
    number: int,
    *works: runs.Work,
    at_ms: float = 0.0,
) -> None:
    """Makes a replica crash while it has requests that have not begun."""
    for work in works:
        quarantine.note_crash(_replica(number), work, at_ms)


def test_part_that_crashes_replicas_is_kept_from_a_fourth() -> None:
    """Guards against new requests with a part that crashes each replica."""
    quarantine = quarantines.Quarantine()
    for number in range(3):
        work = _work(number, "start", "bad")
        assert quarantine.check(work, 0.0) is None
        quarantine.note_begun(_work(100 + number, "start", "good"), 0.0)
        beside = _work(200 + number, "start", f"rare-{number}")
        _crash(quarantine, number, work, beside, at_ms=number)
    verdict = quarantine.check(_work(9, "start", "bad"), 3.0)
    assert verdict is not None
    assert verdict.cause == "bad"
    assert quarantine.check(_work(9, "start", "good"), 3.0) is None


def test_request_that_is_alone_at_two_crashes_is_not_sent_again() -> None:
    """Guards against a third crash by one request that is retried."""
    quarantine = quarantines.Quarantine()
    work = _work(1, "start", "bad")
    _crash(quarantine, 1, work, at_ms=1.0)
    assert quarantine.check(work, 1.0) is None
    _crash(quarantine, 2, work, at_ms=2.0)
    assert quarantine.check(work, 2.0) is not None
    assert quarantine.check(_work(2, "start", "bad"), 2.0) is None
    _crash(quarantine, 3, _work(2, "start", "bad"), at_ms=3.0)
    assert quarantine.check(_work(3, "start", "bad"), 3.0) is not None


def test_suspect_reported_later_ends_a_quarantine_of_two_crashes() -> None:
    """Guards against deciding for good before all gateways have reported."""
    quarantine = quarantines.Quarantine()
    work = _work(1, "start", "rare")
    _crash(quarantine, 1, work, at_ms=1.0)
    _crash(quarantine, 2, work, at_ms=2.0)
    assert quarantine.check(work, 2.0) is not None
    other = quarantines.Quarantine()
    _crash(other, 2, _work(7, "start", "elsewhere"), at_ms=2.0)
    report = other.report(3.0)
    assert report is not None
    quarantine.note_report(report, 3.0)
    assert quarantine.check(work, 3.0) is None


def test_requests_beside_the_cause_are_not_quarantined() -> None:
    """Guards against blaming requests that were retried beside the cause."""
    quarantine = quarantines.Quarantine()
    beside = _work(50, "start", "rare")
    for number in range(4):
        _crash(quarantine, number, beside, _work(number, "start", "bad"))
        _crash(quarantine, number, _work(60 + number % 2, "start", "rare"))
    quarantine.note_begun(_work(70, "start", "other"), 0.0)
    assert quarantine.check(_work(9, "start", "bad"), 1.0) is not None
    assert quarantine.check(beside, 1.0) is None
    assert quarantine.check(_work(9, "start", "rare"), 1.0) is None


def test_request_that_crashes_replicas_does_not_take_its_prompt_with_it() -> (
    None
):
    """Guards against quarantining a part for one request that has it."""
    quarantine = quarantines.Quarantine()
    work = _work(1, "start", "rare")
    for number in range(3):
        _crash(quarantine, number, work)
    assert quarantine.check(work, 1.0) is not None
    assert quarantine.check(_work(2, "start", "rare"), 1.0) is None
    other_customer = _work(1, "start", "rare", customer="neema")
    assert quarantine.check(other_customer, 1.0) is None


def test_simultaneous_loss_of_many_replicas_quarantines_no_known_part() -> None:
    """Guards against refusing a route because a rack failed."""
    quarantine = quarantines.Quarantine()
    quarantine.note_begun(_work(0, "start", "common"), 0.0)
    for number in range(30):
        _crash(quarantine, number, _work(number, "start", "common"), at_ms=10)
    assert quarantine.check(_work(99, "start", "common"), 11.0) is None


def test_part_that_starts_to_crash_replicas_is_quarantined() -> None:
    """Guards against trusting a part for good because it once began."""
    quarantine = quarantines.Quarantine()
    quarantine.note_begun(_work(0, "start", "bad"), 0.0)
    for number in range(4):
        at_ms = 10.0 + number
        _crash(quarantine, number, _work(number, "start", "bad"), at_ms=at_ms)
        for other in range(10):
            quarantine.note_begun(_work(100 + other, "start", "ok"), at_ms)
    verdict = quarantine.check(_work(9, "start", "bad"), 20.0)
    assert verdict is not None
    assert verdict.cause == "bad"


def test_part_that_begins_anywhere_is_released() -> None:
    """Guards against a quarantine that outlives the proof against it."""
    quarantine = quarantines.Quarantine()
    running = _work(9, "start", "rare")
    for number in range(3):
        _crash(quarantine, number, _work(number, "start", "rare"))
    assert quarantine.check(running, 1.0) is not None
    other = quarantines.Quarantine()
    _crash(other, 0, running)
    other.note_begun(running, 2.0)
    report = other.report(3.0)
    assert report is not None
    quarantine.note_report(report, 3.0)
    assert quarantine.check(running, 4.0) is None


def test_gateways_put_together_what_each_has_seen() -> None:
    """Guards against each gateway letting the fault find it anew."""
    gateways = [quarantines.Quarantine() for _ in range(3)]
    for number, gateway in enumerate(gateways):
        _crash(gateway, number, _work(number, "start", "bad"), at_ms=number)
    for gateway in gateways:
        assert gateway.is_urgent(3.0)
        for sender in gateways:
            report = sender.report(3.0)
            assert report is not None
            gateway.note_report(report, 3.0)
    for gateway in gateways:
        assert gateway.check(_work(9, "start", "bad"), 4.0) is not None
    started_later = quarantines.Quarantine()
    started_later.note_report(gateways[0].copy(5.0), 5.0)
    assert started_later.check(_work(9, "start", "bad"), 6.0) is not None


def test_one_crash_seen_by_many_gateways_counts_once() -> None:
    """Guards against counting a crash once for each gateway that saw it."""
    quarantine = quarantines.Quarantine()
    for number in range(5):
        other = quarantines.Quarantine()
        _crash(other, 1, _work(number, "start", "rare"), at_ms=number)
        report = other.report(10.0)
        assert report is not None
        quarantine.note_report(report, 10.0)
    assert quarantine.check(_work(9, "start", "rare"), 11.0) is None


def test_end_of_a_quarantine_admits_one_more_crash() -> None:
    """Guards against a quarantine without end, or one that starts from none."""
    quarantine = quarantines.Quarantine()
    for number in range(3):
        _crash(quarantine, number, _work(number, "start", "bad"))
    work = _work(9, "start", "bad")
    assert quarantine.check(work, _MINUTE_MS - 1) is not None
    assert quarantine.check(work, _MINUTE_MS + 1) is None
    _crash(quarantine, 3, work, at_ms=_MINUTE_MS + 2)
    verdict = quarantine.check(work, _MINUTE_MS + 3)
    assert verdict is not None
    assert verdict.remaining_ms > _MINUTE_MS


def test_state_stays_bounded() -> None:
    """Guards against memory that grows with crashes and prompts."""
    quarantine = quarantines.Quarantine()
    for number in range(7_000):
        quarantine.note_begun(_work(number, f"part-{number}"), number)
    for number in range(400):
        for suspect in range(40):
            work = _work(number * 100 + suspect, f"{number}-{suspect}")
            _crash(quarantine, number, work, at_ms=number)
    huge = _work(1, *("x" * 10_000 for _ in range(1_000)))
    _crash(quarantine, 999, huge, at_ms=500)
    quarantine.note_begun(huge, 600)
    copied = quarantine.copy(1_000.0)
    assert max(len(name) for name in copied.begun) < 100
    assert sum(map(len, copied.crashes[-1].suspects.values())) == 0
    assert len(copied.crashes) <= 200
    assert max(len(crash.suspects) for crash in copied.crashes) <= 32
    report = quarantine.report(1_000.0)
    assert report is not None
    assert len(report.crashes) <= 16


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "begin"]),
        st.integers(0, 5),
        st.integers(0, 3),
        st.integers(0, 8),
    ),
    max_size=60,
)


@hypothesis.given(events=_EVENTS)
def test_what_begins_is_not_quarantined_at_that_time(
    events: list[tuple[str, int, int, int]],
) -> None:
    """Guards against refusing what is known to run, and on too few crashes."""
    quarantine = quarantines.Quarantine()
    crashes: dict[str, set[int]] = {}
    for n, (kind, number, part, replica) in enumerate(events):
        now_ms = float(n + 1)
        work = _work(number, "start", f"part-{part}")
        if kind == "begin":
            quarantine.note_begun(work, now_ms)
            assert quarantine.check(work, now_ms) is None
        else:
            _crash(quarantine, replica, work, at_ms=now_ms)
            for name in work.prompt[:-1]:
                crashes.setdefault(name, set()).add(replica)
    end_ms = len(events) + 1.0
    for part in range(4):
        for number in range(6):
            work = _work(number, "start", f"part-{part}")
            verdict = quarantine.check(work, end_ms)
            if verdict and verdict.cause in crashes:
                assert len(crashes[verdict.cause]) >= 2


def test_gateway_reports_only_what_it_has_seen_itself() -> None:
    """Guards against reports that grow with the number of gateways."""
    first, second = quarantines.Quarantine(), quarantines.Quarantine()
    for gateway, number in ((first, 1), (second, 2)):
        _crash(gateway, 1, _work(number, "start", f"part-{number}"))
        gateway.note_begun(_work(9, f"begun-{number}", "start"), 1.0)
    report = second.report(2.0)
    assert report is not None
    first.note_report(report, 2.0)
    report = first.report(3.0)
    assert report is not None
    (crash,) = report.crashes
    assert list(crash.suspects.values()) == [["start", "part-1"]]
    assert len(first.copy(3.0).crashes[0].suspects) == 2


def test_suspect_of_a_crash_is_one_until_it_begins() -> None:
    """Guards against a second run beside one that crashes its replica."""
    quarantine = quarantines.Quarantine()
    work, other = _work(1, "start", "rare"), _work(2, "start", "other")
    assert not quarantine.is_suspect(work)
    quarantine.note_begun(other, 0.5)
    _crash(quarantine, 1, work, at_ms=1.0)
    assert quarantine.is_suspect(work)
    quarantine.note_begun(other, 2.0)
    assert quarantine.is_suspect(work)
    assert not quarantine.is_suspect(other)
    quarantine.note_begun(work, 3.0)
    assert not quarantine.is_suspect(work)


def _crash_late(
    quarantine: quarantines.Quarantine, number: int, work: runs.Work
) -> None:
    """Makes a replica crash, at the time `number`, after it began a request."""
    quarantine.note_begun(work, number - 0.5)
    quarantine.note_crash(_replica(number), work, float(number), begun=True)


def test_request_that_crashes_replicas_late_is_quarantined() -> None:
    """Guards against trusting a request since it begins each time (BUDGET)."""
    quarantine = quarantines.Quarantine()
    work = _work(1, "start")
    for number in range(1, 4):
        assert quarantine.check(work, float(number)) is None
        _crash_late(quarantine, number, work)
    assert quarantine.is_suspect(work)
    quarantine.note_begun(work, 4.0)
    assert quarantine.check(work, 5.0) is not None
    assert quarantine.is_suspect(work)
    assert quarantine.check(_work(2, "start"), 5.0) is None


def test_late_and_early_crashes_of_a_request_add_up() -> None:
    """Guards against a request that crashes replicas at varying moments."""
    quarantine = quarantines.Quarantine()
    work, beside = _work(1, "start"), _work(2, "start")
    _crash(quarantine, 1, work, beside, at_ms=1.0)
    _crash_late(quarantine, 2, work)
    assert quarantine.check(work, 3.0) is None
    _crash(quarantine, 3, work, beside, at_ms=3.0)
    assert quarantine.check(work, 4.0) is not None


def test_request_that_was_answered_completely_is_released() -> None:
    """Guards against refusing a sound request whose replicas crashed."""
    quarantine = quarantines.Quarantine()
    work = _work(1, "start")
    for number in range(1, 4):
        _crash_late(quarantine, number, work)
    assert quarantine.check(work, 4.0) is not None
    quarantine.note_begun(work, 4.0)
    quarantine.note_completed(work, 4.0)
    assert quarantine.check(work, 5.0) is None
    assert not quarantine.is_suspect(work)
    _crash_late(quarantine, 6, work)
    assert quarantine.check(work, 7.0) is None


def test_streams_beside_late_crashes_are_not_quarantined() -> None:
    """Guards against refusing the streams that a crash has broken."""
    quarantine = quarantines.Quarantine()
    for number in range(1, 9):
        for beside in range(10 * number, 10 * number + 8):
            _crash_late(quarantine, number, _work(beside, "start"))
            _crash_late(quarantine, number + 1, _work(beside, "start"))
        _crash_late(quarantine, number, _work(1, "start"))
    assert quarantine.check(_work(1, "start"), 10.0) is not None
    for beside in range(10, 88):
        assert quarantine.check(_work(beside, "start"), 10.0) is None


def test_gateways_put_late_crashes_together() -> None:
    """Guards against a request that each gateway lets crash three replicas."""
    gateways = [quarantines.Quarantine() for _ in range(3)]
    work = _work(1, "start")
    for number, gateway in enumerate(gateways, start=1):
        _crash_late(gateway, number, work)

    def exchange(now_ms: float) -> None:
        for gateway in gateways:
            report = gateway.report(now_ms)
            assert report is not None
            for other in gateways:
                other.note_report(report, now_ms)

    exchange(4.0)
    started_later = quarantines.Quarantine()
    started_later.note_report(gateways[0].copy(5.0), 5.0)
    for gateway in (*gateways, started_later):
        assert gateway.check(work, 6.0) is not None
    gateways[2].note_completed(work, 7.0)
    exchange(8.0)
    for gateway in gateways:
        assert gateway.check(work, 9.0) is None


def test_late_suspects_stay_bounded() -> None:
    """Guards against memory that grows with the requests of crashes."""
    quarantine = quarantines.Quarantine()
    for number in range(300):
        for request in range(40):
            work = _work(number * 100 + request, "start")
            _crash_late(quarantine, number, work)
            quarantine.note_completed(work, float(number))
    copied = quarantine.copy(300.0)
    assert len(copied.crashes) <= 200
    assert max(len(c.late_suspects) for c in copied.crashes) <= 32
    assert len(copied.completed) <= 200 * 32
