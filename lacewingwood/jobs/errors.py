"""Errors of batch jobs."""

from lacewingwood import errors


class JobError(errors.Error):
    """Base of the errors of batch jobs."""

    code = "job_error"


class UnknownJobError(JobError):
    """No such job or item exists, or it belongs to another customer."""

    code = "job_unknown"


class UnavailableError(JobError):
    """This process can't tell now; the caller may ask again."""

    code = "job_unsure"


class NotAcceptedError(JobError):
    """A job was not accepted, and no part of it will run."""

    code = "job_not_accepted"


class OutcomeUnknownError(JobError):
    """A job may have been accepted; the caller has to send it again."""

    code = "job_unclear"


class InvalidJobError(JobError):
    """A submission is malformed or too large."""

    code = "job_invalid"
