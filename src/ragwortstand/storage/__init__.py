"""ragwortstand.storage: the platform's table service and object store."""

from ragwortstand.storage.acceptance import (
    Acceptance,
    Accepted,
    Conflict,
    Faulty,
    Submission,
    SubmissionOutcome,
    Unavailable,
    VersionRecord,
)
from ragwortstand.storage.claims import ClaimTable
from ragwortstand.storage.entry_points import EntryPoint, EntryPoints

__all__ = (
    'Acceptance',
    'Accepted',
    'ClaimTable',
    'Conflict',
    'EntryPoint',
    'EntryPoints',
    'Faulty',
    'Submission',
    'SubmissionOutcome',
    'Unavailable',
    'VersionRecord',
)
