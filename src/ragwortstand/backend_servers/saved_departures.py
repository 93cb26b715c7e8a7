"""ragwortstand.backend_servers.saved_departures: departures in a row.

A heartbeat that was sent before a departure may arrive seconds after it, and
after a restart of all daemons, so that no memory has the departure any more.
"""

import msgspec

from ragwortstand.backend_servers.announcements import Identity
from ragwortstand.backend_servers.server import BackendServer
from ragwortstand.decoding import decode_json
from ragwortstand.events import Event, EventLog

_PREFIX = 'departed/'
# Late heartbeats are those of the last servers at an address.
_MAX_SAVED = 16


class _Content(msgspec.Struct, frozen=True):
    # Instances and boots of the servers, the last one to depart at the end.
    departed: tuple[tuple[str, int], ...] = ()


class SavedDepartures:
    """Merges the departures that are known with those of the host's row.

    :param backend_server: the backend server on this host.
    :param cluster: name of the cluster.
    :param host: name of the host.
    :param log: logs rows that can't be decoded.
    """

    def __init__(
        self,
        backend_server: BackendServer,
        cluster: str,
        host: str,
        log: EventLog,
    ) -> None:
        """Store the server and the key of the row."""
        self._backend_server = backend_server
        self._log = log
        self.key = f'{_PREFIX}{cluster}/{host}'

    def merge(self, stored_text: str) -> str:
        """Apply the departures of the row; return the content with both.

        :param stored_text: content of the row; empty if there is none.
        """
        server = self._backend_server
        known = server.departures.all()
        stored = self._decode(stored_text)
        unknown = [one for one in stored if not server.has_departed(one)]
        for identity in unknown:
            server.depart(*identity)
        latest = tuple(dict((*unknown, *known)).items())[-_MAX_SAVED:]
        if set(latest) == set(stored):
            return stored_text
        return msgspec.json.encode(_Content(latest)).decode()

    def _decode(self, text: str) -> tuple[Identity, ...]:
        if not text:
            return ()
        try:
            return decode_json(text, _Content).departed
        except msgspec.DecodeError as error:
            self._log.emit(Event.ROW_REFUSED, key=self.key, problem=str(error))
            return ()
