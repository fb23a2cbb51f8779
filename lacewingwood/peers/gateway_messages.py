"""Messages between gateways; see `messages` for their compatibility rules."""

import msgspec

from lacewingwood.peers import messages
from lacewingwood.routing import origins


class Crash(msgspec.Struct, array_like=True):
    """A crash of a replica and the requests that may have caused it.

    Attributes:
        replica: Identifies the replica and its start.
        age_ms: Time since the crash.
        suspects: Shared parts of the prompts of the requests that the replica
            had not begun to answer, by the digest of the request.
        late_suspects: Digests of the requests that it was answering.
    """

    replica: str
    age_ms: float
    suspects: dict[str, list[str]]
    late_suspects: list[str] = []


class CrashReport(msgspec.Struct, array_like=True):
    """What gateways tell each other after replicas have crashed.

    Attributes:
        crashes: Recent crashes.
        begun: Time since a replica last began to answer a suspect request, or
            one with a part of its prompt, by digest or part.
        completed: Time since a replica last answered a suspect request from its
            beginning to its end, by digest.
    """

    crashes: list[Crash]
    begun: dict[str, float]
    completed: dict[str, float] = {}


class ReplicaLimit(msgspec.Struct, array_like=True):
    """How many requests a replica takes from all gateways together.

    Attributes:
        rate: Requests a second, None for any number.
        age_ms: Time since the response that told it.
    """

    rate: float | None
    age_ms: float


class ReplicaSpeed(msgspec.Struct, array_like=True):
    """Evidence on a replica's speed from the runs of one or more gateways.

    Attributes:
        runs: Number of recent runs; the older count less.
        deviation: Mean logarithm of their times relative to those that are
            usual in the service.
        age_ms: Time since the newest of them.
    """

    runs: float
    deviation: float
    age_ms: float = 0.0


class GatewayReport(messages.Message, tag="gateway_report", omit_defaults=True):
    """State of a gateway that it reports to its peers at short intervals.

    Attributes:
        host: The gateway's host.
        address: Address on which the gateway accepts peer connections.
        started_ms: Unix time at which the process started.
        version: Version of the gateway's configuration, 0 if it has none.
        running: Online requests and batch items in flight, by replica.
        admitted: Requests admitted since the start, by customer; holds only
            customers whose count changed recently.
        owned: Epochs of the job partitions that the gateway owns.
        log_age_ms: Time since the log last answered the gateway.
        waiting: Batch items that wait for a slot.
        leaving: True if the gateway is shutting down.
        outcomes: Recent outcomes of its requests, by replica; see
            `routing.outliers`.
        serial: Sequence number among the reports of this process.
        standby: True if the receiver is the sender's standby hub, which
            answers at longer intervals.
        urgent: True if hubs must forward the report without delay.
        crash_report: What it knows of recent crashes of replicas, None if
            there were none.
        replica_limits: Limits that replicas named to it recently, by replica
            and start.
        sent: Requests that it has sent to replicas with a limit; holds only
            replicas whose count changed recently.
        leaving_replicas: Replicas, by replica and start, that told it recently
            that they take no new work.
        speeds: What runs that it knows at first hand tell of replicas' speeds.
        evacuations: Position of the newest change of each zone that was ever
            evacuated, and whether it is; see `routing.evacuation`.
    """

    host: str
    address: str
    started_ms: int
    version: int
    running: dict[str, tuple[int, int]]
    admitted: dict[str, int]
    owned: dict[int, int]
    log_age_ms: float = 0.0
    waiting: int = 0
    leaving: bool = False
    outcomes: dict[str, tuple[int, int]] = {}
    serial: int = 0
    standby: bool = False
    urgent: bool = False
    crash_report: CrashReport | None = None
    replica_limits: dict[str, ReplicaLimit] = {}
    sent: dict[str, int] = {}
    leaving_replicas: list[str] = []
    speeds: dict[str, ReplicaSpeed] = {}
    evacuations: dict[str, tuple[int, bool]] = {}


class HostCounts(msgspec.Struct, array_like=True):
    """The part of a gateway's report that other zones need.

    Attributes:
        host: The gateway's host.
        started_ms: Unix time at which the process started.
        version: Version of the gateway's configuration.
        admitted: Requests admitted since the start, by customer; holds only
            customers whose count changed recently.
        owned: Epochs of the job partitions that the gateway owns.
        sent: Requests that it has sent to replicas with a limit; holds only
            replicas whose count changed recently.
    """

    host: str
    started_ms: int
    version: int
    admitted: dict[str, int]
    owned: dict[int, int]
    sent: dict[str, int] = {}


class ZoneDigest(messages.Message, tag="zone_digest", omit_defaults=True):
    """Summary of the reports of one zone's gateways, for other zones.

    Attributes:
        zone: The zone that is summarized.
        sender: Host of the gateway that made the digest.
        started_ms: Unix time at which the sender's process started.
        serial: Sequence number among the digests of the sender's process.
        hosts: Counts of the zone's gateways that reported recently.
        running: The zone's online requests and batch items in flight, by
            replica.
        outcomes: Recent outcomes of the zone's requests, by replica.
        urgent: True if one of the summarized reports is urgent.
        crash_report: What the zone knows of recent crashes of replicas.
        replica_limits: Limits that replicas named to the zone recently.
        leaving_replicas: Replicas that told the zone recently that they take no
            new work.
        speeds: What the zone's runs tell of replicas' speeds.
        evacuations: What the zone's gateways know of evacuated zones.
    """

    zone: str
    sender: str
    started_ms: int
    serial: int
    hosts: list[HostCounts]
    running: dict[str, tuple[int, int]]
    outcomes: dict[str, tuple[int, int]] = {}
    urgent: bool = False
    crash_report: CrashReport | None = None
    replica_limits: dict[str, ReplicaLimit] = {}
    leaving_replicas: list[str] = []
    speeds: dict[str, ReplicaSpeed] = {}
    evacuations: dict[str, tuple[int, bool]] = {}


class ZoneReports(messages.Message, tag="zone_reports"):
    """Reports and digests that a hub forwards within its zone.

    Attributes:
        hub: The hub's host.
        reports: The hub's own report, and those that it received since it last
            sent this message.
        digests: Digests of other zones received in the same time.
    """

    hub: str
    reports: list[GatewayReport]
    digests: list[ZoneDigest]


class FindOrigin(messages.Message, tag="find_origin"):
    """Asks a gateway whether it began a stream, and at which version.

    Attributes:
        key: The stream; see `origins.stream_key`.
        services: Services that may run it.
    """

    key: int
    services: list[str]


class OriginFound(messages.Message, tag="origin_found"):
    """Answers `FindOrigin`.

    Attributes:
        origin: Where the gateway began the stream, None if it did not.
        possible: Versions of the services at which streams can have begun.
    """

    origin: origins.Origin | None
    possible: list[origins.Origin]


class FetchConfiguration(messages.Message, tag="fetch_configuration"):
    """Asks a gateway for its configuration and its list of replicas."""


class ConfigurationCopy(messages.Message, tag="configuration_copy"):
    """Answers `FetchConfiguration`.

    Attributes:
        document: The encoded configuration document, empty if there is none.
        replicas: Encoded entries of the replicas, by replica id.
        levels: Tokens in the customers' buckets, by customer.
        crash_report: What the gateway knows of crashes of replicas.
        replica_limits: The limits of replicas that it knows.
        versions: The software versions on the log, and when each was recorded.
        evacuations: What the gateway knows of evacuated zones.
    """

    document: bytes
    replicas: dict[str, bytes]
    levels: dict[str, float]
    crash_report: CrashReport | None = None
    replica_limits: dict[str, ReplicaLimit] = {}
    versions: list[tuple[origins.Origin, int]] = []
    evacuations: dict[str, tuple[int, bool]] = {}


class JobRead(messages.Message, tag="job_read"):
    """Asks the owner of a job for its results from a position on.

    Attributes:
        customer: Customer to whom the job belongs.
        job_id: The job.
        start: Position of the first result to return.
        wait_ms: How long to wait for a result if there is none yet.
        partition: Number of the partition whose owner is asked; -1 in messages
            of earlier versions, which know one partition for each job.
    """

    customer: str
    job_id: str
    start: int
    wait_ms: float
    partition: int = -1


class JobResult(msgspec.Struct):
    """One result of a job.

    Attributes:
        item_id: The item.
        completed: True if the item completed, False if it failed for good.
        output: Data of all events of the item's answer, joined by line feeds.
    """

    item_id: str
    completed: bool
    output: bytes


class JobResults(messages.Message, tag="job_results"):
    """Answers `JobRead`; `total` is the number of items in the job."""

    total: int
    results: list[JobResult]


class JobItemRead(messages.Message, tag="job_item_read"):
    """Asks a job's owner for the body of an item that has no result yet."""

    customer: str
    job_id: str
    item_id: str
    partition: int = -1


class JobItemBody(messages.Message, tag="job_item_body"):
    """Answers `JobItemRead`."""

    body: bytes


class JobProgress(messages.Message, tag="job_progress"):
    """Sends the progress of an item to the next owner of its partition.

    Attributes:
        customer: Customer to whom the job belongs.
        job_id: The job.
        item: Index of the item.
        last_event: Id of the last event received, None before the first.
        output: Data of the events received so far.
        failures: Number of answers that counted as failed attempts.
        completed: Whether the item completed, None if it has to continue.
        partition: Number of the partition.
        origin: Service and software version that wrote the events, None if
            there are none.
    """

    customer: str
    job_id: str
    item: int
    last_event: int | None
    output: list[bytes]
    failures: int
    completed: bool | None
    partition: int = -1
    origin: origins.Origin | None = None


class JobAppend(messages.Message, tag="job_append"):
    """Asks a gateway that can reach the log to append records for another.

    Answered with `Ack` once the records are on the log.

    Attributes:
        partition: Number of the partition.
        keys: Keys of the records.
        values: Values of the records, in the order of `keys`.
    """

    partition: int
    keys: list[str]
    values: list[bytes]


class JobAdmission(messages.Message, tag="job_admission"):
    """Asks a partition's owner to accept a job if it fits the route's limit.

    Answered with `Ack` once the job is on the log.

    Attributes:
        partition: Number of the partition.
        job: The job's encoded specification.
        bodies: Bodies of its items.
        limit: Most tokens of the customer that may wait on the job's route.
    """

    partition: int
    job: bytes
    bodies: list[bytes]
    limit: int


class JobEnd(messages.Message, tag="job_end"):
    """Asks the owner of a job to end the job; answered with `Ack`."""

    customer: str
    job_id: str
    partition: int = -1


class SlotAsk(messages.Message, tag="slot_ask"):
    """Asks the coordinator of a shard of replicas for a slot.

    Answered with `SlotAnswer` if it is a call. It is repeated while it waits.

    Attributes:
        host: The gateway that asks.
        address: Address on which that gateway accepts peer connections.
        ticket: Number of the ticket, unique for the gateway.
        shard: The shard.
        service: Service of the shard's replicas.
        batch: True for a batch item.
        urgent: True for an item that may take the last free slots.
        repeatable: True if the request may run again elsewhere if it fails.
        may_preempt: True if a batch item may be stopped for it.
        rank: Priority, 0 is the highest.
        age_ms: Time since the request arrived.
        objective_ms: Time after its arrival by which its first event is due.
        exclude: Replicas that must not be used.
        version: Software version that must run it, None for any.
        left_ms: Time that a batch item has to run, 0 if it is not known.
        customer: Customer that sent the request, empty if it has none.
        tokens: Its estimated work, for the shares of customers.
        timeout_ms: Time until its caller no longer waits, None if not known.
    """

    host: str
    address: str
    ticket: int
    shard: str
    service: str
    batch: bool = False
    urgent: bool = False
    repeatable: bool = True
    may_preempt: bool = False
    rank: int = 0
    age_ms: float = 0.0
    objective_ms: float = 0.0
    exclude: list[str] = []
    version: str | None = None
    left_ms: float = 0.0
    customer: str = ""
    tokens: float = 1.0
    timeout_ms: float | None = None


class SlotAnswer(messages.Message, tag="slot_answer"):
    """Answers `SlotAsk`.

    Attributes:
        replica: The replica, empty if the ticket waits.
        free: Slots of the shard that no online request uses.
        hopeless: True if the ticket waits and it is forecast that it can't get
            a slot before its deadline.
    """

    replica: str
    free: int
    hopeless: bool = False


class SlotGrant(messages.Message, tag="slot_grant"):
    """Tells a gateway that a ticket which waited has got a replica."""

    ticket: int
    replica: str
    shard: str


class SlotRelease(messages.Message, tag="slot_release", omit_defaults=True):
    """Ends a ticket.

    Attributes:
        host: The gateway that holds it.
        ticket: Its number.
        refused: True if the replica refused the request as full.
        failed: True if the request failed at the replica.
        unused: True if nothing was sent under it.
        deviation: Logarithm of the run's times relative to usual ones.
        weight: Weight of the deviation, 0 if there is none.
    """

    host: str
    ticket: int
    refused: bool = False
    failed: bool = False
    unused: bool = False
    deviation: float = 0.0
    weight: float = 0.0


class SlotPreempt(messages.Message, tag="slot_preempt"):
    """Asks a gateway to stop one of its batch items at a replica."""

    replica: str


class SlotsHeld(messages.Message, tag="slots_held"):
    """Tells a coordinator what a gateway holds in a shard; sent repeatedly.

    Attributes:
        host: The gateway.
        address: Address on which it accepts peer connections.
        shard: The shard.
        online: Replicas of its online requests, by ticket.
        batch: Replicas of its batch items, by ticket.
    """

    host: str
    address: str
    shard: str
    online: dict[int, str]
    batch: dict[int, str]


AnyMessage = (
    GatewayReport
    | ZoneDigest
    | ZoneReports
    | FetchConfiguration
    | ConfigurationCopy
    | JobRead
    | JobResults
    | JobItemRead
    | JobItemBody
    | JobProgress
    | JobAppend
    | JobAdmission
    | SlotAsk
    | SlotAnswer
    | SlotGrant
    | SlotRelease
    | SlotPreempt
    | SlotsHeld
    | JobEnd
)
