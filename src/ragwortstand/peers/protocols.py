"""ragwortstand.peers.protocols: interface of the links to peers."""

from typing import Protocol

from ragwortstand.ids import PeerAddress
from ragwortstand.peers.messages import Reply, Request


class PeerLinks(Protocol):
    """Sends requests to other daemons, over any transport."""

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Send a request to a peer and return its reply.

        :param address: address that the peer listens on.
        :param request: the request.
        :param timeout_s: time to wait for the reply.
        :raises PeerError: when there is no usable reply in time.
        """

    def close_link(self, address: PeerAddress) -> None:
        """Close the link to a departed peer."""
