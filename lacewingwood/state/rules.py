"""Preconditions of changes, checked when they are applied to a view."""

from typing import TYPE_CHECKING

from lacewingwood.state import records

if TYPE_CHECKING:
    from lacewingwood.state import view as view_lib


def allows(view: "view_lib.View", body: records.Body) -> bool:
    """Returns whether a change is valid in the view's current state.

    A change that is not valid is void even if its `based_on` is current.
    """
    allowed = True
    match body:
        case records.CustomerDeleted(name):
            allowed = name in view.customers
        case records.KeyPut(key_id, digest, customer):
            used = view.key_id_used(key_id) or digest in view.keys
            allowed = customer in view.customers and not used
        case records.RouteDeleted(name):
            allowed = name in view.routes
        case records.ModelDeleted(name):
            allowed = name in view.models
        case records.MemberJoined(member):
            allowed = member.node_id not in view.members
        case records.MemberLeft(node_id):
            allowed = node_id in view.members
        case records.LeaseClaimed(_, holder):
            allowed = holder in view.members
        case records.LeaseReleased(name, holder):
            lease = view.leases.get(name)
            allowed = lease is not None and lease.holder == holder != ""
        case records.JobAccepted(job):
            known = job.customer in view.customers
            allowed = known and job.job_id not in view.jobs
        case records.JobCancelled(job_id):
            state = view.jobs.get(job_id)
            allowed = state is not None and state.status == "accepted"
        case records.JobFinished(job_id):
            state = view.jobs.get(job_id)
            allowed = state is not None and state.finished_ms is None
    return allowed
