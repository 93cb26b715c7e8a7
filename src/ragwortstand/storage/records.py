"""ragwortstand.storage.records: rows of accepted versions."""

import msgspec

from ragwortstand.ids import Digest, SubmissionId, Version


class VersionRecord(msgspec.Struct, frozen=True):
    """Metadata of an accepted version, stored as a row.

    :param version: the accepted version.
    :param digest: digest of its content, the key in the object store.
    :param submission: id of the submission.
    :param author: who submitted it.
    :param accepted_unix_s: time of acceptance, seconds since 1970.
    """

    version: Version
    digest: Digest
    submission: SubmissionId
    author: str
    accepted_unix_s: float
