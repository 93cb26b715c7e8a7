"""ragwortstand.peers.push_targets: whom a daemon tells of a new version.

Each daemon tells a bounded number of others, most of them in its own
availability zone, and those tell others in turn. What a daemon sends and gets
for a version does not grow with the fleet; whom the offers miss hears of the
version from the next probe.
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
    """Return the members that are told of a version.

    :param own: the entry of this daemon.
    :param peers: the other members.
    :param fanout: how many are told.
    :param far_fanout: how many of them are in other availability zones, and
        more where there are not enough in the own one.
    :param rng: source of randomness.
    """
    near = [peer for peer in peers if peer.zone == own.zone]
    far = [peer for peer in peers if peer.zone != own.zone]
    near_count = min(len(near), fanout - min(far_fanout, len(far)))
    far_count = min(len(far), fanout - near_count)
    return rng.sample(near, near_count) + rng.sample(far, far_count)
