"""ragwortstand.rendezvous: rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash

from ragwortstand.ids import HostId


def weight(key: str, host: HostId) -> int:
    """Return the weight of a host for a key, from 0 to 2**64 - 1."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{host}'.encode())


def ranked(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return the hosts in descending order of their weight for a key.

    All processes that know the same hosts compute the same order. The loss of
    a host moves only the keys for which it was first.

    :param key: the key to assign.
    :param hosts: the candidates.
    """
    weighted = [(weight(key, host), host) for host in hosts]
    weighted.sort(reverse=True)
    return [host for _, host in weighted]
