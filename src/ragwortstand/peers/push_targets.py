"""ragwortstand.peers.push_targets: which members are offered a new version.

Each daemon offers a new version to a bounded number of others, most of them
in its own availability zone, and these do the same. The traffic of a daemon
for each version therefore does not grow with the fleet. Daemons that no offer
reaches learn the version from the next probe.
"""

import random
from collections.abc import Sequence

from ragwortstand.peers.messages import Member


def push_targets(
    own: Member,
    peers: Sequence[Member],
    fanout: int,
    far_fanout: int,
    rng: random.Random,
) -> list[Member]:
    """Return the members that a daemon offers a version to.

    :param own: the entry of this daemon.
    :param peers: the other members.
    :param fanout: number of members to return.
    :param far_fanout: how many of them are in other availability zones; more
        if the daemon's own zone has too few.
    :param rng: source of randomness.
    """
    near = [peer for peer in peers if peer.zone == own.zone]
    far = [peer for peer in peers if peer.zone != own.zone]
    near_count = min(len(near), fanout - min(far_fanout, len(far)))
    far_count = min(len(far), fanout - near_count)
    return rng.sample(near, near_count) + rng.sample(far, far_count)
