"""Settings of a gateway process.

They are apart from those of the other roles, which the command line describes:
a gateway does without the command line's library (see `__main__`).
"""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway process, filled in by the platform's adapter.

    Attributes:
        host: Identity of this host.
        zone: Availability zone.
        region: Region.
        bind: Listener for callers, IP:PORT.
        ready_bind: Listener for the load balancer's readiness checks.
        peer_bind: Listener for other gateways.
        peer_address: Address at which other gateways reach this one.
        admin_bind: Listener for health, metrics and dumps.
        seeds: Peer listeners to ask when the store is unavailable.
        store_address: The platform's metadata store, IP:PORT.
        partitions_per_topic: Partitions of each topic in the store.
        max_record_bytes: Largest record that the store accepts.
        max_append_bytes: Most bytes of one append.
        member_ttl_min_ms: Shortest time to live of a group membership.
        heartbeat_ms: Interval at which replicas renew their entries.
        contact_ms: Time after a disturbance until a host counts as
            undisturbed.
        leave_ms: Time within which a draining replica stops getting requests.
        apply_ms: Time within which a new configuration is in force.
        grace_ms: Time between SIGTERM and SIGKILL.
        job_status_ms: How long a job stays readable after its submission.
        rate_tolerance: Fraction by which a customer may exceed its rate.
        burst_tolerance: Requests by which a customer may exceed its burst.
        contention: True if customers compete for too few slots; see
            docs/decisions/contention.md.
        second_attempt_percent: Second attempts against slow responses, as a
            percentage of the requests of each route that sets none.
        memory_bytes: Memory of the host.
        max_descriptors: Most open file descriptors of the process.
        max_header_fields: Most fields of a request's head.
        first_byte_ms: Time limit for the first byte of a connection.
        body_stall_ms: Longest time in which a request's body gets no byte.
        body_rate_window_ms: Time over which a body's rate is measured.
        body_bytes_per_s: Lowest rate of a body over that time.
        cold_overage: Factor by which requests to a cold replica may exceed its
            rate in any second.
        cold_slack: Requests to a cold replica allowed on top of that.
        evacuation_ms: Time from an acknowledged evacuation until the zone gets
            no requests.
    """

    host: str
    zone: str
    region: str = ""
    bind: str = "127.0.0.1:0"
    ready_bind: str = "127.0.0.1:0"
    peer_bind: str = "127.0.0.1:0"
    peer_address: str = "127.0.0.1:0"
    admin_bind: str = "127.0.0.1:0"
    seeds: list[str] = dataclasses.field(default_factory=list)
    store_address: str = ""
    partitions_per_topic: int = 8
    max_record_bytes: int = 262_144
    max_append_bytes: int = 2_097_152
    member_ttl_min_ms: int = 1_000
    heartbeat_ms: float = 1_200.0
    contact_ms: float = 3_000.0
    leave_ms: float = 2_000.0
    apply_ms: float = 2_000.0
    grace_ms: float = 8_000.0
    job_status_ms: float = 120_000.0
    rate_tolerance: float = 0.0
    burst_tolerance: float = 0.0
    contention: bool = False
    second_attempt_percent: float = 0.0
    memory_bytes: int = 256 << 20
    max_descriptors: int = 1_024
    max_header_fields: int = 256
    first_byte_ms: float = 60_000.0
    body_stall_ms: float = 10_000.0
    body_rate_window_ms: float = 30_000.0
    body_bytes_per_s: float = 100.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    evacuation_ms: float = 5_000.0
