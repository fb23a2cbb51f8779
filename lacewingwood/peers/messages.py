"""Messages between the processes of this system.

Each request type has one answer type; one-way messages have none. A tag in the
encoded message identifies its type and unknown fields are ignored, so that
processes of different versions can talk to each other.
"""

import msgspec


class Message(msgspec.Struct, tag_field="t"):
    """Base class of all messages."""


class Ping(Message, tag="ping"):
    """Asks a peer up to which offset it has applied the `control` stream.

    Attributes:
        node_id: The asking process.
        offset: The asking process has applied all records of `control` below
            this offset.
    """

    node_id: str
    offset: int


class Pong(Message, tag="pong"):
    """Answers `Ping`.

    Attributes:
        node_id: The answering process.
        offset: The answering process has applied all records of `control`
            below this offset.
        log_age_ms: Time since it last read up to the end of the log, -1 if it
            never has.
    """

    node_id: str
    offset: int
    log_age_ms: float


class FetchRecords(Message, tag="fetch_records"):
    """Asks for the records of `control` from offset `start` on."""

    start: int


class Records(Message, tag="records"):
    """Answers `FetchRecords`; empty if the peer no longer has the records.

    Attributes:
        start: Offset of the first record.
        data: Encoded records with consecutive offsets.
    """

    start: int
    data: list[bytes]


class FetchView(Message, tag="fetch_view"):
    """Asks for the whole view: the state that the records add up to."""


class EncodedView(Message, tag="encoded_view"):
    """Answers `FetchView` with the view after all records below `covers`."""

    covers: int
    data: bytes


class Reachable(Message, tag="reachable"):
    """Asks whether the peer can reach a member that may have died."""

    node_id: str


class Reached(Message, tag="reached"):
    """Answers `Reachable`.

    Attributes:
        node_id: The member asked about.
        reached: True if the member answered the peer; False only if the peer
            tried and got no answer.
    """

    node_id: str
    reached: bool


class Borrow(Message, tag="borrow"):
    """Asks the owner of a bucket part to lend a piece of it, or to renew it.

    Each customer's token bucket is split into parts with an owner each. An
    entry process that admits requests borrows a piece of a part: a token
    bucket of its own for a limited time.

    Attributes:
        node_id: The borrowing entry process.
        customer: Name of the customer.
        part: Index of the part of the customer's bucket.
        want: Level that the piece should have for the requests that wait.
        demand: Recent arrivals per second at this entry process for this part.
        rate: Refill rate per second of the piece now held.
        depth: Depth of the piece now held.
        level: Unused requests in the piece now held.
        serial: Increases with each message of this entry process about this
            part.
        epoch: Fencing number of the lease under which the piece was lent, -1
            if none is held.
        applied: Serial of the request whose answer gave the piece now held.
        use_ms: Time from this request within which the entry process expects
            to have used what it is lent.
    """

    node_id: str
    customer: str
    part: int
    want: float
    demand: float
    rate: float
    depth: float
    level: float
    serial: int
    epoch: int
    applied: int = 0
    use_ms: float = 250.0


class Lent(Message, tag="lent"):
    """Answers `Borrow` with a piece that replaces the one held.

    Attributes:
        epoch: Fencing number of the owner's lease.
        rate: Refill rate per second.
        depth: Largest number of requests that the piece can hold.
        add_level: Requests to add to those that the entry process has left.
        ttl_ms: Lifetime of the piece; the entry process counts it from before
            it sent the request.
        retry_ms: Time after which asking again may help, if too little was
            lent.
        serial: Serial of the request.
    """

    epoch: int
    rate: float
    depth: float
    add_level: float
    ttl_ms: float
    retry_ms: float
    serial: int = 0


class Return(Message, tag="return"):
    """Returns a piece that the entry process has stopped using.

    The fields have the same meaning as in `Borrow`.
    """

    node_id: str
    customer: str
    part: int
    level: float
    serial: int
    epoch: int
    applied: int = 0


class HandedPiece(msgspec.Struct):
    """A piece that an entry process may still hold when the owner leaves.

    Attributes:
        node_id: The entry process.
        rate: Refill rate per second.
        depth: Largest number of requests that the piece can hold.
        left_ms: Time after which the piece has certainly expired.
    """

    node_id: str
    rate: float
    depth: float
    left_ms: float


class HandedPart(msgspec.Struct):
    """State of one part of a customer's bucket when its owner leaves.

    Attributes:
        customer: Name of the customer.
        level: Requests in the part that are not lent.
        pieces: Pieces that are lent.
    """

    customer: str
    level: float
    pieces: list[HandedPiece]


class HandOver(Message, tag="hand_over"):
    """Tells the new owner of bucket parts what the previous owner has lent.

    Attributes:
        lease: Name of the lease.
        released: Offset at which the previous owner released the lease.
        lend_in_ms: Time until all pieces lent by earlier owners have expired.
        parts: Parts from which pieces are lent; all other parts have none.
    """

    lease: str
    released: int
    lend_in_ms: float
    parts: list[HandedPart]


class OnlineCount(Message, tag="online_count"):
    """Tells the holder of a replica's lease what an entry process runs there.

    The lease holder assigns the free capacity of the replica, its room, to the
    owners of batch jobs.

    Attributes:
        node_id: The entry process.
        replica: The replica's id.
        running: Requests in flight from this entry process to the replica.
        serial: Increases with each message; a message with a lower one is
            dropped.
    """

    node_id: str
    replica: str
    running: int
    serial: int


class ReplicaWord(Message, tag="replica_word"):
    """Load of a replica, sent by the holder of its lease.

    Attributes:
        replica: The replica's id.
        online: Online requests in flight from all entry processes.
        batch: Batch items in flight.
        waiting: Requests queued in the engine at its last load report.
        leaving: True if the replica must get no new work.
        serial: Increases with each message of this lease holder.
        epoch: Fencing number of the lease; a later holder has a greater one.
    """

    replica: str
    online: int
    batch: int
    waiting: int
    leaving: bool
    serial: int
    epoch: int = 0


class Ack(Message, tag="ack"):
    """Answers a request that returns no data."""


class Refused(Message, tag="refused"):
    """Answers a request that the peer rejects.

    Attributes:
        code: Stable error code, such as `not_owner` or `stale`.
        message: Human-readable description.
    """

    code: str
    message: str


class RunItem(Message, tag="run_item"):
    """Asks the holder of a replica's lease to run a batch item.

    Attributes:
        job_id: The item's job.
        index: Index of the item in the job.
        epoch: Fencing number of the job owner's lease.
        replica: Replica that is to run the item.
        endpoint: URL path of the engine's endpoint.
        body: The item's request body, JSON.
        resume_text: Text that an earlier run produced.
        due_ms: Time left until the job is due.
        node_id: The job's owner.
        customer: Customer to whom the job belongs.
        cost: Expected number of tokens.
        suspect: True if a replica died while it ran the item.
    """

    job_id: str
    index: int
    epoch: int
    replica: str
    endpoint: str
    body: bytes
    resume_text: str
    due_ms: float
    node_id: str = ""
    customer: str = ""
    cost: float = 1.0
    suspect: bool = False


class ItemDone(Message, tag="item_done"):
    """Answers `RunItem`: the item completed.

    Attributes:
        response: The engine's answer, JSON.
    """

    response: bytes


class ItemYielded(Message, tag="item_yielded"):
    """Answers `RunItem`: the item was stopped after producing `text`."""

    text: str


class ItemFailed(Message, tag="item_failed"):
    """Answers `RunItem`: the item failed on this replica.

    Attributes:
        code: Stable error code.
        message: Human-readable description.
        own_fault: True if the item itself is the cause: the engine rejected it
            or gave an unusable answer.
        crashed: True if the replica died while it ran the item.
        text: Text that the item produced before it failed.
    """

    code: str
    message: str
    own_fault: bool
    crashed: bool = False
    text: str = ""


class CrashSuspect(Message, tag="crash_suspect"):
    """Reports that a replica died while it ran these requests.

    Attributes:
        replica: The replica that died.
        fingerprints: Customer and digest of the body of each request in flight.
        event_id: Unique for each crash that one entry process observes.
    """

    replica: str
    fingerprints: list[str]
    event_id: str


class CrashCleared(Message, tag="crash_cleared"):
    """Reports that a suspect request has completed on a replica."""

    fingerprint: str


class WantItems(Message, tag="want_items"):
    """Tells the holder of a replica's lease how many items wait for it.

    Attributes:
        node_id: The job owner.
        replica: The replica's id.
        wants: Numbers of waiting items, by customer.
        serial: Increases with each message; a message with a lower one is
            dropped.
    """

    node_id: str
    replica: str
    wants: dict[str, int]
    serial: int


class RoomOffer(Message, tag="room_offer"):
    """Tells a job owner how many items it may send to a replica.

    Attributes:
        replica: The replica's id.
        room: Largest number of this owner's items that may be running or queued
            at the replica at a time.
        epoch: Fencing number of the replica's lease.
        serial: Increases with each message of this lease holder.
    """

    replica: str
    room: int
    epoch: int
    serial: int


class StopItems(Message, tag="stop_items"):
    """Tells the holder of a replica's lease to stop the items of a job.

    Attributes:
        replica: The replica's id.
        job_id: The job.
        epoch: Running and queued items stop if they were sent under this epoch
            of the job's lease or an earlier one.
    """

    replica: str
    job_id: str
    epoch: int


AnyMessage = (
    Ping
    | Pong
    | FetchRecords
    | Records
    | FetchView
    | EncodedView
    | Reachable
    | Reached
    | Borrow
    | Lent
    | Return
    | HandOver
    | OnlineCount
    | ReplicaWord
    | Ack
    | Refused
    | RunItem
    | ItemDone
    | ItemYielded
    | ItemFailed
    | CrashSuspect
    | CrashCleared
    | WantItems
    | RoomOffer
    | StopItems
)
