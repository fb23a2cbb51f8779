"""Tests of API keys and configuration during failures of processes."""

import contextlib
import http.client
import signal
import time

from tests.integration import harness


def test_log_outage_fails_only_requests_that_need_the_log(
    system: harness.System,
) -> None:
    """Guards against failing online requests while the log is unavailable.

    Requests that need the log, such as new jobs and calls with an idempotency
    key, must be refused as not run and succeed again after the outage.
    """
    entry = system.entries[0]
    file_id = system.upload(
        entry, system.key, system.batch_lines("night", 3, 4)
    )
    ids = iter(range(1_000_000))

    def send_keyed_order(key: str) -> harness.Response:
        headers = {"idempotency-key": key}
        return system.call(
            entry, "POST", "/orders", system.key, {"n": next(ids)}, headers
        )

    def chats_succeed() -> bool:
        responses = [
            system.chat(e, system.key, f"outage {next(ids)}")
            for e in system.entries
        ]
        assert [r.status for r in responses] == [200] * 3, responses
        return True

    with system.log_unavailable():
        harness.check_holds(chats_succeed, harness.MAX_VIEW_AGE_S + 2)
        response = system.create_job(entry, system.key, file_id)
        assert response.status == 503, response.body
        assert response.error["ran"] == "not_run"
        response = send_keyed_order("during-outage")
        assert response.status == 503, response.body
        assert response.error["ran"] == "not_run"
        executions = system.get_stats(system.deployment.plain)["executions"]
        assert "during-outage" not in executions
    harness.wait_for(
        lambda: system.create_job(entry, system.key, file_id).status == 200
    )
    harness.wait_for(lambda: send_keyed_order("after-outage").status == 200)
    assert chats_succeed()


def test_withdrawn_key_is_refused_everywhere(system: harness.System) -> None:
    """Guards against accepting a withdrawn key on any path.

    Running streams must end, and open connections must be refused. One entry
    is paused until its view is stale; when it resumes, it must not accept the
    key on the basis of that view.
    """
    key = system.create_customer("guest", 100, 200)
    secret = key["secret"]
    system.wait_until_key_is_accepted(secret)
    *others, paused = system.entries
    streams = [
        system.start_stream(e, secret, harness.long_prompt(e.name), 1_000)
        for e in others
    ]
    connections = {
        entry.name: harness.connect(entry) for entry in system.entries
    }
    for conn in connections.values():
        response = harness.send(conn, "GET", "/v1/models", secret)
        assert response.status == 200
    with system.paused(paused):
        system.operate("key", "withdraw", key["key_id"])
        started = time.monotonic()
        for entry in others:
            conn = connections[entry.name]
            harness.wait_for(
                lambda c=conn: _get_status(c, secret) == 401, timeout_s=3
            )
            assert system.chat(entry, secret, "again").status == 401
        for stream in streams:
            assert stream.finished.wait(3), (
                "the stream continued after its key was withdrawn"
            )
            assert not stream.complete
        # The age of the paused entry's view can't be queried, so this waits
        # until the view must be stale.
        pause_s = harness.MAX_VIEW_AGE_S + 0.5 - (time.monotonic() - started)
        harness.check_holds(lambda: True, pause_s)
    response = harness.send(
        connections[paused.name], "GET", "/v1/models", secret
    )
    assert response.status in (401, 503) or response.broken
    assert system.chat(paused, secret, "again").status in (401, 503)
    harness.wait_for(lambda: system.chat(paused, secret, "later").status == 401)
    for conn in connections.values():
        conn.close()


def _get_status(conn: http.client.HTTPConnection, key: str) -> int:
    return harness.send(conn, "GET", "/v1/models", key).status


def _wait_for_status(system: harness.System, key: str, status: int) -> None:
    """Waits until each entry responds to a key with an HTTP status."""
    for entry in system.entries:
        with contextlib.closing(harness.connect(entry)) as conn:
            harness.wait_for(
                lambda c=conn: _get_status(c, key) == status, timeout_s=5
            )
            assert entry.running


def test_isolated_entry_refuses_requests(system: harness.System) -> None:
    """Guards against serving requests at an entry without log and peers.

    All other processes that it depends on are paused, so that its view of keys
    and limits becomes stale.
    """
    system.restart_evicted_nodes()
    isolated, *others = system.entries
    deployment = system.deployment
    unreachable = [
        *others,
        *deployment.workers,
        deployment.log,
        deployment.hostlist,
    ]
    with system.paused(*unreachable):
        harness.wait_for(
            lambda: (
                system.chat(isolated, system.key, "cut off").refused_as_not_run
            ),
            timeout_s=harness.MAX_VIEW_AGE_S + 2,
        )
        harness.check_holds(
            lambda: (
                system.chat(isolated, system.key, "still").refused_as_not_run
            ),
            1,
        )
    with contextlib.closing(harness.connect(isolated)) as conn:
        harness.wait_for(lambda: _get_status(conn, system.key) == 200)


def test_configuration_survives_loss_of_all_nodes(
    system: harness.System,
) -> None:
    """Guards against losing accepted configuration in a restart.

    All entries and workers are killed at once, so that only the log has it.
    """
    system.restart_evicted_nodes()
    kept_secret = system.create_customer("keeper", 100, 200)["secret"]
    withdrawn = system.create_customer("leaver", 100, 200)
    withdrawn_secret = withdrawn["secret"]
    _wait_for_status(system, withdrawn_secret, 200)
    system.operate("key", "withdraw", withdrawn["key_id"])
    _wait_for_status(system, withdrawn_secret, 401)
    _wait_for_status(system, kept_secret, 200)
    deployment = system.deployment
    counts = len(deployment.entries), len(deployment.workers)
    for node in (*deployment.entries, *deployment.workers):
        node.signal(signal.SIGKILL)
        node.wait()
    deployment.entries.clear()
    deployment.workers.clear()
    deployment.shape.entries, deployment.shape.workers = counts
    deployment.start_nodes()
    for entry in system.entries:
        # Model lists are exempt from rate limits. After a start the token
        # buckets of the limits are empty, so other requests could be refused.
        with contextlib.closing(harness.connect(entry)) as conn:
            assert _get_status(conn, kept_secret) == 200
            assert _get_status(conn, withdrawn_secret) == 401
