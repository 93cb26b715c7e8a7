"""ragwortstand.ids: distinct types for names, versions and identifiers."""

from typing import NewType

HostId = NewType('HostId', str)
RegionName = NewType('RegionName', str)
ZoneName = NewType('ZoneName', str)
ServiceName = NewType('ServiceName', str)
RankName = NewType('RankName', str)
ClusterName = NewType('ClusterName', str)

#: Version of the configuration; 0 means that there is none.
Version = NewType('Version', int)
#: Hexadecimal SHA-256 of a canonical configuration.
Digest = NewType('Digest', str)
SubmissionId = NewType('SubmissionId', str)
RequestId = NewType('RequestId', str)
#: The caller's key by which repeated requests are recognised.
IdempotencyKey = NewType('IdempotencyKey', str)
#: Hash of a request's content; the same for each repetition of it.
Fingerprint = NewType('Fingerprint', str)
#: Address of a socket in the form ``tcp://host:port``.
PeerAddress = NewType('PeerAddress', str)

NO_VERSION = Version(0)
