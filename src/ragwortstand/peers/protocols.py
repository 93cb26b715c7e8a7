"""ragwortstand.peers.protocols: what the parts need of links to peers."""

from typing import Protocol

from ragwortstand.ids import PeerAddress
from ragwortstand.peers.messages import Reply, Request


class PeerLinks(Protocol):
    """Requests to other daemons, whatever carries them."""

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Send a request to a peer and return its reply.

        :param address: where the peer listens.
        :param request: the request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no usable reply in time.
        """

    def close_link(self, address: PeerAddress) -> None:
        """Close the link to a peer that departed."""
