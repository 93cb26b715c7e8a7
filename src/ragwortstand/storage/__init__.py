"""ragwortstand.storage: the platform's table service and object store.

`ragwortstand.storage.acceptance` is imported by name, as it brings the checks
of operators' documents.
"""

from ragwortstand.storage.claims import ClaimTable
from ragwortstand.storage.entry_points import EntryPoint, EntryPoints
from ragwortstand.storage.records import VersionRecord

__all__ = (
    'ClaimTable',
    'EntryPoint',
    'EntryPoints',
    'VersionRecord',
)
