"""ragwortstand.storage: accesses the platform's table and object store.

`ragwortstand.storage.version_store` is not imported here, as it imports the
checks of operators' documents; import it by its full name.
"""

from ragwortstand.storage.claims import ClaimTable
from ragwortstand.storage.entry_points import (
    EntryPoint,
    EntryPoints,
    decode_entry_points,
)
from ragwortstand.storage.records import VersionRecord

__all__ = (
    'ClaimTable',
    'EntryPoint',
    'EntryPoints',
    'VersionRecord',
    'decode_entry_points',
)
