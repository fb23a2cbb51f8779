"""Coordinates shards of replicas for the gateways that ask this one."""

import math
from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.limits import replica_limits
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib
from lacewingwood.routing import coordinator as coordinators
from lacewingwood.routing import load
from lacewingwood.routing import replica_pauses
from lacewingwood.routing import shards as shards_lib
from lacewingwood.routing import slots as slots_lib
from lacewingwood.routing import tickets

# Interval at which tickets of ended gateways are dropped, and replicas whose
# pauses have ended are used again.
_EXPIRY_INTERVAL_MS = 100.0

_log = structlog.get_logger()


class SlotServer:
    """Receives tickets of gateways and sends them the coordinator's decisions.

    It serves whichever gateway takes it for a shard's coordinator.

    Attributes:
        deliver: Called with messages to this gateway itself.
    """

    def __init__(
        self,
        shard_map: shards_lib.ShardMap,
        limits: replica_limits.ReplicaLimits,
        network: network_lib.Network,
        host: str,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        contention: bool = False,
    ) -> None:
        self.deliver = lambda message: None
        self._network = network
        self._host = host
        self._clock = clock
        self._metrics = metrics
        self._coordinator = coordinators.Coordinator(
            shard_map.replicas, limits, contention=contention
        )
        self._addresses: dict[str, str] = {}
        self._shards: set[str] = set()
        self._asked = trio.Event()
        network.handle(gateway_messages.SlotAsk, self._handle_ask)
        network.handle(gateway_messages.SlotRelease, self._handle_release)
        network.handle(gateway_messages.SlotsHeld, self._handle_held)

    def set_settled(self, is_settled: Callable[[str], bool]) -> None:
        """Sets what tells whether another gateway may coordinate a shard."""
        self._coordinator.is_settled = is_settled

    def dump(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of waiting and granted tickets by shard."""
        return self._coordinator.counts()

    async def run(self) -> None:
        """Drops expired tickets until cancelled."""
        while True:
            if not self._shards:
                self._asked = trio.Event()
                await self._asked.wait()
            await self._clock.sleep_ms(_EXPIRY_INTERVAL_MS)
            self._send(self._coordinator.expire(self._clock.now_ms()))
            counts = self._coordinator.counts()
            for shard in counts.keys() - self._shards:
                _log.info("coordinating", shard=shard)
            for shard in self._shards - counts.keys():
                _log.info("no longer coordinating", shard=shard)
            self._shards = set(counts)

    def ask(
        self, message: gateway_messages.SlotAsk
    ) -> gateway_messages.SlotAnswer:
        """Grants a ticket or lets it wait."""
        now_ms = self._clock.now_ms()
        self._asked.set()
        self._addresses[message.host] = message.address
        replica, decisions = self._coordinator.ask(
            _make_ticket(message, now_ms), now_ms
        )
        self._send(decisions)
        self._metrics.add(
            "slot_asks",
            work="batch" if message.batch else "online",
            outcome="granted" if replica else "waits",
        )
        free = self._coordinator.free_slots(message.shard, now_ms)
        ticket_id = message.host, message.ticket
        hopeless = self._coordinator.is_hopeless(ticket_id, now_ms)
        return gateway_messages.SlotAnswer(replica, free, hopeless)

    def release(self, message: gateway_messages.SlotRelease) -> None:
        """Ends a ticket."""
        ticket_id = message.host, message.ticket
        now_ms = self._clock.now_ms()
        end = replica_pauses.End.DONE
        if message.refused:
            end = replica_pauses.End.REFUSED
        elif message.failed:
            end = replica_pauses.End.FAILED
        elif message.unused:
            end = replica_pauses.End.UNUSED
        deviation = message.deviation, message.weight
        self._send(self._coordinator.release(ticket_id, now_ms, end, deviation))

    def note_held(self, message: gateway_messages.SlotsHeld) -> None:
        """Takes over what a gateway holds."""
        self._asked.set()
        self._addresses[message.host] = message.address
        held = {
            **{
                number: (replica, load.WorkKind.ONLINE)
                for number, replica in message.online.items()
            },
            **{
                number: (replica, load.WorkKind.BATCH)
                for number, replica in message.batch.items()
            },
        }
        self._send(
            self._coordinator.note_held(
                message.host, message.shard, held, self._clock.now_ms()
            )
        )

    async def _handle_ask(
        self, message: gateway_messages.SlotAsk
    ) -> messages.Message:
        answer = self.ask(message)
        if message.batch and answer.replica:
            # A batch item's gateway does not wait for the answer.
            self._send_to(
                message.host,
                gateway_messages.SlotGrant(
                    message.ticket, answer.replica, message.shard
                ),
            )
        return answer

    async def _handle_release(
        self, message: gateway_messages.SlotRelease
    ) -> messages.Message:
        self.release(message)
        return messages.Ack()

    async def _handle_held(
        self, message: gateway_messages.SlotsHeld
    ) -> messages.Message:
        self.note_held(message)
        return messages.Ack()

    def _send(self, decisions: list[tickets.Decision]) -> None:
        for decision in decisions:
            ticket = decision.ticket
            match decision:
                case tickets.Grant():
                    message: messages.Message = gateway_messages.SlotGrant(
                        ticket.number, ticket.replica_id, ticket.shard
                    )
                case tickets.Preempt():
                    message = gateway_messages.SlotPreempt(ticket.replica_id)
                    self._metrics.add("slot_preemptions")
            self._send_to(ticket.holder, message)

    def _send_to(self, host: str, message: messages.Message) -> None:
        if host == self._host:
            self.deliver(message)
        elif address := self._addresses.get(host):
            self._network.send(address, message)


def _make_ticket(
    message: gateway_messages.SlotAsk, now_ms: float
) -> tickets.Ticket:
    work = load.WorkKind.BATCH if message.batch else load.WorkKind.ONLINE
    return tickets.Ticket(
        message.host,
        message.ticket,
        message.shard,
        slots_lib.SlotRequest(
            service=message.service,
            work=work,
            rank=message.rank,
            arrived_ms=now_ms - message.age_ms,
            objective_ms=message.objective_ms,
            exclude=set(message.exclude),
            urgent=message.urgent,
            repeatable=message.repeatable,
            version=message.version,
            customer=message.customer,
            tokens=message.tokens,
            deadline_ms=(
                math.inf
                if message.timeout_ms is None
                else now_ms + message.timeout_ms
            ),
        ),
        may_preempt=message.may_preempt and not message.batch,
        left_ms=message.left_ms,
    )
