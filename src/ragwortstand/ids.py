"""ragwortstand.ids: distinct types for names, versions and identifiers."""

from typing import Annotated, NewType

import msgspec

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
#: Peer address in a document, checked as it is decoded: an IPv4 address or a
#: host name with labels of at most 63 characters, and a port from 1 to 65535.
DecodedPeerAddress = Annotated[
    PeerAddress,
    msgspec.Meta(
        pattern=r'^tcp://[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63}){0,9}:'
        r'([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d'
        r'|6553[0-5])\Z'
    ),
]

NO_VERSION = Version(0)
