"""Tests of the peer transport over real sockets on loopback."""

import contextlib
import itertools
from collections.abc import AsyncIterator

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies

from lacewingwood import clock
from lacewingwood import errors as base_errors
from lacewingwood import metrics
from lacewingwood.peers import connection
from lacewingwood.peers import errors
from lacewingwood.peers import messages
from lacewingwood.peers import network
from lacewingwood.peers import wire

_LONG_MS = 20_000


class Node:
    """A process's network with its metrics and clock."""

    def __init__(self, name: str) -> None:
        self.metrics = metrics.Registry()
        self.clock = clock.ManualClock()
        self.network = network.Network(name, self.metrics, self.clock)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.network.port}"


async def _echo(message: messages.FetchRecords) -> messages.Message:
    return messages.Records(message.start, [])


@contextlib.asynccontextmanager
async def _pair() -> AsyncIterator[tuple[Node, Node]]:
    """Yields a running client and server; the server echoes offsets."""
    client, server = Node("a"), Node("b")
    server.network.handle(messages.FetchRecords, _echo)
    await server.network.serve("127.0.0.1", 0)
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.network.run)
            nursery.start_soon(server.network.run)
            yield client, server
            nursery.cancel_scope.cancel()


async def _until(node: Node, counter: str, **labels: str) -> None:
    """Waits until a counter of a node is not zero."""
    while not node.metrics.counter(counter, **labels):
        await trio.sleep(0.001)


async def test_answers_match_their_calls_whatever_the_size() -> None:
    """Guards against swapped answers and frames truncated by flow control."""
    async with _pair() as (client, server):

        async def fill(message: messages.FetchRecords) -> messages.Message:
            size = message.start
            return messages.Records(size, [bytes([size % 251]) * size])

        server.network.handle(messages.FetchRecords, fill)

        async def check(size: int) -> None:
            got = await client.network.call(
                server.address, messages.FetchRecords(size), _LONG_MS
            )
            want = messages.Records(size, [bytes([size % 251]) * size])
            assert got == want

        async with trio.open_nursery() as nursery:
            for size in [0, 1, 100, 70_000, 1_500_000, 5_000_000] * 2:
                nursery.start_soon(check, size)
            for size in range(500):
                nursery.start_soon(check, size)


async def test_slow_handler_blocks_no_other_and_is_cancelled() -> None:
    """Guards against head-of-line blocking and an answer to the wrong call."""
    async with _pair() as (client, server):
        cancelled = trio.Event()

        async def slow(_: messages.FetchView) -> messages.Message:
            try:
                await trio.sleep_forever()
            finally:
                cancelled.set()
            return messages.Ack()

        server.network.handle(messages.FetchView, slow)
        with pytest.raises(errors.TimeoutError) as caught:
            await client.network.call(server.address, messages.FetchView(), 50)
        assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
        got = await client.network.call(
            server.address, messages.FetchRecords(7), _LONG_MS
        )
        assert got == messages.Records(7, [])
        await cancelled.wait()


async def test_refusals_and_handler_errors_reach_the_caller() -> None:
    """Guards against an error in one handler that ends the connection."""
    async with _pair() as (client, server):

        async def refuse(_: messages.FetchView) -> messages.Message:
            raise errors.RefusedError("not_owner", "another node owns it")

        async def fail(_: messages.CrashCleared) -> messages.Message:
            raise ZeroDivisionError

        server.network.handle(messages.FetchView, refuse)
        server.network.handle(messages.CrashCleared, fail)
        for message, reason in (
            (messages.FetchView(), "peer_refused"),
            (messages.CrashCleared("f"), "internal"),
            (messages.Ping("a", 0), "unknown_message"),
        ):
            with pytest.raises(errors.RefusedError) as caught:
                await client.network.call(server.address, message, _LONG_MS)
            assert caught.value.reason == reason
        assert await client.network.call(
            server.address, messages.FetchRecords(1), _LONG_MS
        )


async def test_calls_and_sends_to_an_unreachable_peer_fail_at_once() -> None:
    """Guards against queues that grow while a peer is down."""
    async with _pair() as (client, server):
        address = server.address
        await server.network.close(0)
        message = messages.FetchRecords(1)
        for _ in range(2):
            with pytest.raises(errors.UnreachableError) as caught:
                await client.network.call(address, message, _LONG_MS)
            assert caught.value.ran is base_errors.Ran.NOT_RUN
        client.network.send(address, message)
        assert client.metrics.counter("peer_messages_dropped") == 1


async def test_link_recovers_when_the_peer_returns() -> None:
    """Guards against a link that stays down after the backoff."""
    client, server = Node("a"), Node("b")
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.network.run)
            await server.network.serve("127.0.0.1", 0)
            nursery.start_soon(server.network.run)
            address, port = server.address, server.network.port
            server.network.handle(messages.FetchRecords, _echo)
            call = messages.FetchRecords(1)
            await client.network.call(address, call, _LONG_MS)
            await server.network.close()
            restarted = Node("b")
            restarted.network.handle(messages.FetchRecords, _echo)
            await restarted.network.serve("127.0.0.1", port)
            nursery.start_soon(restarted.network.run)
            answer = None
            while answer is None:
                with contextlib.suppress(errors.UnreachableError):
                    answer = await client.network.call(address, call, _LONG_MS)
                client.clock.advance(3_000)
            nursery.cancel_scope.cancel()


async def test_close_waits_for_running_calls() -> None:
    """Guards against a planned shutdown that interrupts running calls."""
    async with _pair() as (client, server):
        started, release = trio.Event(), trio.Event()
        answers: list[messages.Message] = []

        async def slow(_: messages.FetchView) -> messages.Message:
            started.set()
            await release.wait()
            return messages.EncodedView(1, b"x" * 3_000_000)

        async def ask() -> None:
            answers.append(
                await client.network.call(
                    server.address, messages.FetchView(), _LONG_MS
                )
            )

        server.network.handle(messages.FetchView, slow)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await started.wait()
            nursery.start_soon(server.network.close, _LONG_MS)
            await trio.testing.wait_all_tasks_blocked()
            with pytest.raises(errors.RefusedError) as caught:
                await client.network.call(
                    server.address, messages.FetchRecords(1), _LONG_MS
                )
            assert caught.value.reason == "closing"
            release.set()
        assert answers == [messages.EncodedView(1, b"x" * 3_000_000)]


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00" * 100,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\5\4\0\0\0\0\0hello",
    ],
)
async def test_input_other_than_http2_ends_only_its_connection(
    garbage: bytes,
) -> None:
    """Guards against a crash caused by a client of another protocol."""
    async with _pair() as (client, server):
        stream = await trio.open_tcp_stream("127.0.0.1", server.network.port)
        async with stream:
            await stream.send_all(garbage)
            with contextlib.suppress(trio.BrokenResourceError):
                while await stream.receive_some(1024):
                    pass
        await _until(server, "peer_connections_broken", cause="http2")
        assert await client.network.call(
            server.address, messages.FetchRecords(1), _LONG_MS
        )


@pytest.mark.parametrize(
    "frame",
    [
        b"\x01\x00\x00\x00\x00",
        b"\x00\xff\xff\xff\xff",
        b"\x00\x00\x00\x00\x02\xc1\xc1",
        bytes(wire.encode(wire.Kind.ANSWER, 1, messages.Ack())),
    ],
)
async def test_malformed_frames_end_only_their_connection(
    frame: bytes,
) -> None:
    """Guards against a crash caused by a peer with faulty framing."""
    async with _pair() as (client, server):
        stream = await trio.open_tcp_stream("127.0.0.1", server.network.port)
        async with stream:
            bad = connection.Connection(
                stream,
                print,
                lambda: False,
                client.metrics,
                server_address=server.address,
            )
            bad.post(frame)
            await bad.run()
        await _until(server, "peer_connections_broken", cause="frame")
        assert await client.network.call(
            server.address, messages.FetchRecords(1), _LONG_MS
        )


async def test_long_call_keeps_its_quiet_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a connection as idle while a call is running."""
    monkeypatch.setattr(connection, "_TICK_MS", 5)
    monkeypatch.setattr(connection, "_CLIENT_IDLE_TICKS", 1)
    async with _pair() as (client, server):

        async def slow(_: messages.FetchView) -> messages.Message:
            while client.metrics.counter("peer_pings") < 10:
                await trio.sleep(0.001)
            return messages.EncodedView(1, b"")

        server.network.handle(messages.FetchView, slow)
        answer = await client.network.call(
            server.address, messages.FetchView(), _LONG_MS
        )
        assert answer == messages.EncodedView(1, b"")


async def test_silent_peer_fails_calls_before_their_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that wait for a host that has died."""
    monkeypatch.setattr(connection, "_TICK_MS", 5)
    async with _pair() as (client, _):
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        async with listener:
            with pytest.raises(errors.UnreachableError) as caught:
                await client.network.call(
                    f"127.0.0.1:{port}", messages.FetchView(), _LONG_MS
                )
        assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
        assert client.metrics.counter("peer_connections_silent") == 1


@hypothesis.given(
    sizes=strategies.lists(strategies.integers(0, 300), max_size=8),
    cuts=strategies.lists(strategies.integers(1, 200), min_size=1),
)
def test_deframer_restores_messages_from_any_chunks(
    sizes: list[int], cuts: list[int]
) -> None:
    """Guards against frames lost or merged at the boundaries of reads."""
    sent = [messages.Records(0, [b"x" * size]) for size in sizes]
    data = b"".join(wire.encode(wire.Kind.SEND, 0, item) for item in sent)
    deframer = wire.Deframer()
    payloads = []
    at = 0
    for cut in itertools.cycle(cuts):
        if at >= len(data):
            break
        payloads += deframer.feed(data[at : at + cut])
        at += cut
    assert [wire.decode(payload).body for payload in payloads] == sent
