"""Errors of batch jobs."""

from lacewingwood import errors


class JobError(errors.Error):
    """Base class of the errors of batch jobs."""

    code = "job_error"


class UnknownJobError(JobError):
    """The job or item does not exist, or it belongs to another customer."""

    code = "job_unknown"


class UnavailableError(JobError):
    """The request can't be answered now; the caller may retry it."""

    code = "job_unsure"


class NoOwnerError(UnavailableError):
    """The owner is not known, so that nobody was asked."""


class NotAcceptedError(JobError):
    """The job was not accepted, and no item of it will run."""

    code = "job_not_accepted"


class OverLimitError(JobError):
    """The customer's tokens that wait on the route leave no room for the job.

    The job was not accepted, and no item of it will run.
    """

    code = "job_over_limit"


class OutcomeUnknownError(JobError):
    """The job may have been accepted, or ended; the caller has to ask again."""

    code = "job_unclear"


class InvalidJobError(JobError):
    """A submission is malformed or too large."""

    code = "job_invalid"
