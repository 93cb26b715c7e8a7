"""ragwortstand.platform: the platform's table service and object store."""

from ragwortstand.platform.acceptance import (
    Acceptance,
    Accepted,
    Conflict,
    Faulty,
    Submission,
    SubmissionOutcome,
    Unavailable,
    VersionRecord,
)
from ragwortstand.platform.claims import ClaimTable
from ragwortstand.platform.client import PlatformClient
from ragwortstand.platform.entry_points import EntryPoint, EntryPoints

__all__ = (
    'Acceptance',
    'Accepted',
    'ClaimTable',
    'Conflict',
    'EntryPoint',
    'EntryPoints',
    'Faulty',
    'PlatformClient',
    'Submission',
    'SubmissionOutcome',
    'Unavailable',
    'VersionRecord',
)
