"""Messages between the system's own processes.

Each request type has one answer type; a message sent without a question has
none. Types are told apart by their tags, unknown fields are passed over, so
that old and new versions talk to each other.
"""

import msgspec


class Message(msgspec.Struct, tag_field="t"):
    """Base of all messages."""


class Ping(Message, tag="ping"):
    """Asks a peer for its state of knowledge.

    Attributes:
        node_id: The asking process.
        offset: Offset on `control` below which it has applied everything.
    """

    node_id: str
    offset: int


class Pong(Message, tag="pong"):
    """Answers `Ping`.

    Attributes:
        node_id: The answering process.
        offset: Offset on `control` below which it has applied everything.
        log_age_ms: Time since it last read the log's tail, -1 if never.
    """

    node_id: str
    offset: int
    log_age_ms: float


class FetchRecords(Message, tag="fetch_records"):
    """Asks for records of `control` from `start` on."""

    start: int


class Records(Message, tag="records"):
    """Records of `control`, in order; empty if the peer no longer has them.

    Attributes:
        start: Offset of the first record.
        data: Encoded records, one each offset.
    """

    start: int
    data: list[bytes]


class FetchView(Message, tag="fetch_view"):
    """Asks for the whole view."""


class EncodedView(Message, tag="encoded_view"):
    """The whole view, holding all records with offsets below `covers`."""

    covers: int
    data: bytes


class Reachable(Message, tag="reachable"):
    """Asks whether the peer reaches a member that may have died."""

    node_id: str


class Reached(Message, tag="reached"):
    """Answers `Reachable`.

    Attributes:
        node_id: The member asked about.
        reached: True if it answered the peer; False only if it did not.
    """

    node_id: str
    reached: bool


class Borrow(Message, tag="borrow"):
    """Asks the owner of a bucket part for a piece, or renews one.

    Attributes:
        node_id: The borrowing entry.
        customer: Name of the customer.
        part: Index of the bucket's part.
        want: Level that the piece should have, for requests that wait.
        demand: Recent arrivals a second at this entry, for this part.
        rate: Refill a second of the piece held now.
        depth: Depth of the piece held now.
        level: Unused requests in the piece held now.
        serial: Rises with each message of this entry for this part.
        epoch: Fencing number of the lease under which the piece was lent, -1
            if none is held.
        applied: Serial of the question whose answer gave the piece held.
        use_ms: Time from the question in which the entry will have used what
            it gets.
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
    """Answers `Borrow` with the piece that now replaces the one held.

    Attributes:
        epoch: Fencing number of the owner's lease.
        rate: Refill a second.
        depth: Most requests the piece can hold.
        add_level: Requests added to those the entry has left.
        ttl_ms: Life of the piece, counted by the entry from before it asked.
        retry_ms: When asking again may help, if too little was lent.
        serial: Serial of the question.
    """

    epoch: int
    rate: float
    depth: float
    add_level: float
    ttl_ms: float
    retry_ms: float
    serial: int = 0


class Return(Message, tag="return"):
    """Gives a piece back; the entry has stopped using it.

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
    """A piece that an entry may still hold when an owner leaves.

    Attributes:
        node_id: The entry.
        rate: Refill a second.
        depth: Most requests the piece can hold.
        left_ms: Time until the piece has surely ended.
    """

    node_id: str
    rate: float
    depth: float
    left_ms: float


class HandedPart(msgspec.Struct):
    """One customer's part of a bucket when its owner leaves.

    Attributes:
        customer: Name of the customer.
        level: Requests that are not lent.
        pieces: What is lent.
    """

    customer: str
    level: float
    pieces: list[HandedPiece]


class HandOver(Message, tag="hand_over"):
    """Tells the new owner of bucket parts what the leaving one had lent.

    Attributes:
        lease: Name of the lease.
        released: Offset at which the leaving owner gave the lease up.
        lend_in_ms: Time until all pieces of still earlier owners have ended.
        parts: Parts from which something was lent; no other has any piece out.
    """

    lease: str
    released: int
    lend_in_ms: float
    parts: list[HandedPart]


class OnlineCount(Message, tag="online_count"):
    """Tells a replica's room holder how many requests an entry has there.

    Attributes:
        node_id: The entry.
        replica: The replica's id.
        running: Requests in flight from this entry to the replica.
        serial: Rises with each message; an older one is dropped.
    """

    node_id: str
    replica: str
    running: int
    serial: int


class ReplicaWord(Message, tag="replica_word"):
    """What a replica's room holder knows of it.

    Attributes:
        replica: The replica's id.
        online: Online requests in flight from all entries.
        batch: Batch items in flight.
        waiting: Requests queued in the engine by its last load report.
        leaving: True if it must get no new work.
        serial: Rises with each message of this holder.
    """

    replica: str
    online: int
    batch: int
    waiting: int
    leaving: bool
    serial: int


class Ack(Message, tag="ack"):
    """Answers a request that has no other answer."""


class Refused(Message, tag="refused"):
    """Answers a request that the peer cannot serve.

    Attributes:
        code: Stable identifier, such as `not_owner` or `stale`.
        message: Sentence for people.
    """

    code: str
    message: str


class RunItem(Message, tag="run_item"):
    """Asks a room holder to run one batch item.

    Attributes:
        job_id: The job.
        index: Index of the item in its job.
        epoch: Fencing number of the job owner's lease.
        replica: Replica to run it on.
        endpoint: Path of the engine's interface.
        body: The item's request body, JSON.
        resume_text: Text that an earlier run produced.
        due_ms: Time left until the job is due.
        node_id: The job's owner.
        customer: Customer of the job.
        cost: Expected tokens.
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
    """The item completed; `response` is the engine's answer, JSON."""

    response: bytes


class ItemYielded(Message, tag="item_yielded"):
    """The item gave way to online work after producing `text`."""

    text: str


class ItemFailed(Message, tag="item_failed"):
    """The item failed on this replica.

    Attributes:
        code: Stable identifier.
        message: Sentence for people.
        own_fault: True if the item itself was refused or answered wrongly.
        crashed: True if the replica died while it ran the item.
        text: Text that the item had produced.
    """

    code: str
    message: str
    own_fault: bool
    crashed: bool = False
    text: str = ""


class CrashSuspect(Message, tag="crash_suspect"):
    """An upstream died while it ran these requests.

    Attributes:
        replica: The replica that died.
        fingerprints: Customer and body digest of each request in flight.
        event_id: Unique for each death seen by one entry.
    """

    replica: str
    fingerprints: list[str]
    event_id: str


class CrashCleared(Message, tag="crash_cleared"):
    """A suspect request has completed on some replica."""

    fingerprint: str


class WantItems(Message, tag="want_items"):
    """Tells a replica's room holder how many items a job owner could send.

    Attributes:
        node_id: The job owner.
        replica: The replica's id.
        wants: Waiting items by customer.
        serial: Rises with each message; an older one is dropped.
    """

    node_id: str
    replica: str
    wants: dict[str, int]
    serial: int


class RoomOffer(Message, tag="room_offer"):
    """Tells a job owner how many items it may have at a replica.

    Attributes:
        replica: The replica's id.
        room: Items of this owner that may be there at once, running or queued.
        epoch: Fencing number of the room holder's lease.
        serial: Rises with each message of this holder.
    """

    replica: str
    room: int
    epoch: int
    serial: int


class StopItems(Message, tag="stop_items"):
    """Tells a replica's room holder to stop a job's items, running or queued.

    Attributes:
        replica: The replica's id.
        job_id: The job.
        epoch: Items sent under this lease of the job or an earlier one.
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
