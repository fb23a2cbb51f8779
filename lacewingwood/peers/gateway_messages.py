"""Messages between gateways; see `messages` for their rules."""

import msgspec

from lacewingwood.peers import messages


class GatewayReport(messages.Message, tag="gateway_report"):
    """What a gateway runs and has admitted; sent to its peers.

    Attributes:
        host: The gateway's host.
        address: Its peer listener.
        started_ms: Unix time of its start.
        version: Version of its configuration, 0 if it has none.
        running: For each replica its online requests and batch items.
        admitted: Requests admitted since its start, by customer, where that
            changed lately.
        owned: Job partitions that it owns, with their epochs.
        log_age_ms: Time since the log answered this gateway.
        waiting: Batch items that wait for a slot.
        leaving: True if it stops.
        outcomes: How its requests ended lately at each replica; see
            `routing.outliers`.
        serial: Its number among the reports of this process.
        standby: True to a hub that passes on only now and then.
        urgent: True if hubs must pass it on at once.
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


class HostCounts(msgspec.Struct, array_like=True):
    """What other zones must know of one gateway.

    Attributes:
        host: The gateway's host.
        started_ms: Unix time of its start.
        version: Version of its configuration.
        admitted: Customers' counts that changed lately.
        owned: Job partitions that it owns, with their epochs.
    """

    host: str
    started_ms: int
    version: int
    admitted: dict[str, int]
    owned: dict[int, int]


class ZoneDigest(messages.Message, tag="zone_digest"):
    """What one zone's gateways tell the others.

    Attributes:
        zone: The zone that it is about.
        sender: The gateway that made it.
        started_ms: Unix time of the sender's start.
        serial: Its number among those of this process of the sender.
        hosts: The zone's gateways that were heard lately.
        running: For each replica the zone's online requests and batch items.
        outcomes: How their requests ended lately at each replica.
        urgent: True if one of its reports is.
    """

    zone: str
    sender: str
    started_ms: int
    serial: int
    hosts: list[HostCounts]
    running: dict[str, tuple[int, int]]
    outcomes: dict[str, tuple[int, int]] = {}
    urgent: bool = False


class ZoneReports(messages.Message, tag="zone_reports"):
    """What a hub passes on within its zone.

    Attributes:
        hub: The hub's host.
        reports: Reports that are new to it, its own included.
        digests: The same of other zones' digests.
    """

    hub: str
    reports: list[GatewayReport]
    digests: list[ZoneDigest]


class FetchConfiguration(messages.Message, tag="fetch_configuration"):
    """Asks a gateway for the configuration and replicas that it knows."""


class ConfigurationCopy(messages.Message, tag="configuration_copy"):
    """Answers `FetchConfiguration`.

    Attributes:
        document: The operator's document as it was read, empty if none.
        replicas: Entries of replicas as they were read, by id.
        levels: Tokens in customers' buckets.
    """

    document: bytes
    replicas: dict[str, bytes]
    levels: dict[str, float]


class JobRead(messages.Message, tag="job_read"):
    """Asks the owner of a job for results from a position on.

    Attributes:
        customer: Whose job it is.
        job_id: The job.
        start: Position of the first result wanted.
        wait_ms: How long to wait for a result.
    """

    customer: str
    job_id: str
    start: int
    wait_ms: float


class JobResult(msgspec.Struct):
    """One result of a job.

    Attributes:
        item_id: The item.
        completed: False if the item was given up.
        output: Data of all events, joined by line feeds.
    """

    item_id: str
    completed: bool
    output: bytes


class JobResults(messages.Message, tag="job_results"):
    """Answers `JobRead`; `total` counts the job's items."""

    total: int
    results: list[JobResult]


class JobItemRead(messages.Message, tag="job_item_read"):
    """Asks the owner of a job for the body of an item not yet listed."""

    customer: str
    job_id: str
    item_id: str


class JobItemBody(messages.Message, tag="job_item_body"):
    """Answers `JobItemRead`."""

    body: bytes


class JobProgress(messages.Message, tag="job_progress"):
    """Hands an item's progress to its partition's next owner.

    Attributes:
        customer: Whose job it is.
        job_id: The job.
        item: Index of the item.
        last_event: Id of the last event that came, None before the first.
        output: Data of the events so far.
        failures: Answers that counted as failed attempts.
        completed: The outcome, None if the item has to run on.
    """

    customer: str
    job_id: str
    item: int
    last_event: int | None
    output: list[bytes]
    failures: int
    completed: bool | None


class JobAppend(messages.Message, tag="job_append"):
    """Asks a gateway that reaches the log to append records for this one.

    Answered with `Ack` once they are on the log.

    Attributes:
        partition: Number of the partition.
        keys: Keys of the records.
        values: Their values.
    """

    partition: int
    keys: list[str]
    values: list[bytes]


class JobEnd(messages.Message, tag="job_end"):
    """Asks the owner of a job to end it; answered with `Ack`."""

    customer: str
    job_id: str


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
    | JobEnd
)
