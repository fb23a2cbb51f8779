"""Keys and configuration on real processes that fail."""

import contextlib
import http.client
import signal
import time

from tests.integration import system as systems


def test_log_outage_refuses_only_what_needs_the_log(
    system: systems.System,
) -> None:
    """Guards against an outage of the log that stops online requests.

    What needs the log must be refused as not run, and work again afterwards.
    """
    entry = system.entries[0]
    file_id = system.upload(entry, system.key, system.items("night", 3, 4))
    ids = iter(range(1_000_000))

    def keyed(key: str) -> systems.Answer:
        headers = {"idempotency-key": key}
        return system.call(
            entry, "POST", "/orders", system.key, {"n": next(ids)}, headers
        )

    def served() -> bool:
        answers = [
            system.chat(e, system.key, f"outage {next(ids)}")
            for e in system.entries
        ]
        assert [a.status for a in answers] == [200] * 3, answers
        return True

    with system.log_down():
        systems.stays(served, systems.FRESHNESS_S + 2)
        answer = system.create_job(entry, system.key, file_id)
        assert answer.status == 503, answer.body
        assert answer.error["ran"] == "not_run"
        answer = keyed("during-outage")
        assert answer.status == 503, answer.body
        assert answer.error["ran"] == "not_run"
        executions = system.stats(system.running.plain)["executions"]
        assert "during-outage" not in executions
    systems.wait_for(
        lambda: system.create_job(entry, system.key, file_id).status == 200
    )
    systems.wait_for(lambda: keyed("after-outage").status == 200)
    assert served()


def test_withdrawn_key_stops_everywhere(system: systems.System) -> None:
    """Guards against a key that lives on in streams, connections or caches.

    One entry is paused past its freshness and must not serve the key from its
    old view when it resumes.
    """
    key = system.customer("guest", 100, 200)
    secret = key["secret"]
    system.wait_until_served(secret)
    *others, paused = system.entries
    streams = [
        system.start_stream(e, secret, systems.long_prompt(e.name), 1_000)
        for e in others
    ]
    kept = {entry.name: systems.connect(entry) for entry in system.entries}
    for conn in kept.values():
        answer = systems.send(conn, "GET", "/v1/models", secret)
        assert answer.status == 200
    with system.paused(paused):
        system.operate("key", "withdraw", key["key_id"])
        started = time.monotonic()
        for entry in others:
            conn = kept[entry.name]
            systems.wait_for(
                lambda c=conn: _status(c, secret) == 401, within_s=3
            )
            assert system.chat(entry, secret, "again").status == 401
        for stream in streams:
            assert stream.ended.wait(3), "the stream went on"
            assert not stream.done
        # Callers can't see the paused entry's age but by the time itself.
        pause_s = systems.FRESHNESS_S + 0.5 - (time.monotonic() - started)
        systems.stays(lambda: True, pause_s)
    answer = systems.send(kept[paused.name], "GET", "/v1/models", secret)
    assert answer.status in (401, 503) or answer.broken
    assert system.chat(paused, secret, "again").status in (401, 503)
    systems.wait_for(lambda: system.chat(paused, secret, "later").status == 401)
    for conn in kept.values():
        conn.close()


def _status(conn: http.client.HTTPConnection, key: str) -> int:
    return systems.send(conn, "GET", "/v1/models", key).status


def _wait_all(system: systems.System, key: str, status: int) -> None:
    """Waits until each entry answers a key with a status."""
    for entry in system.entries:
        with contextlib.closing(systems.connect(entry)) as conn:
            systems.wait_for(
                lambda c=conn: _status(c, key) == status, within_s=5
            )
            assert entry.running


def test_isolated_entry_refuses(system: systems.System) -> None:
    """Guards against an entry that serves without the log and its peers."""
    system.restart_evicted()
    alone, *others = system.entries
    running = system.running
    cut = [*others, *running.workers, running.log, running.hostlist]
    with system.paused(*cut):
        systems.wait_for(
            lambda: system.chat(alone, system.key, "cut off").refused,
            within_s=systems.FRESHNESS_S + 2,
        )
        systems.stays(
            lambda: system.chat(alone, system.key, "still").refused, 1
        )
    with contextlib.closing(systems.connect(alone)) as conn:
        systems.wait_for(lambda: _status(conn, system.key) == 200)


def test_configuration_outlives_all_nodes(system: systems.System) -> None:
    """Guards against accepted configuration that a restart loses.

    All entries and workers are killed at once; the log alone remains.
    """
    system.restart_evicted()
    kept = system.customer("keeper", 100, 200)["secret"]
    withdrawn = system.customer("leaver", 100, 200)
    secret = withdrawn["secret"]
    _wait_all(system, secret, 200)
    system.operate("key", "withdraw", withdrawn["key_id"])
    _wait_all(system, secret, 401)
    _wait_all(system, kept, 200)
    running = system.running
    counts = len(running.entries), len(running.workers)
    for node in (*running.entries, *running.workers):
        node.signal(signal.SIGKILL)
        node.wait()
    running.entries.clear()
    running.workers.clear()
    running.shape.entries, running.shape.workers = counts
    running.start_nodes()
    for entry in system.entries:
        # Lists of models are not counted against rates, which begin empty.
        with contextlib.closing(systems.connect(entry)) as conn:
            assert _status(conn, kept) == 200
            assert _status(conn, secret) == 401
