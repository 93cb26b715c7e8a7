"""ragwortstand.backend_servers: the backend server of the same host."""

from ragwortstand.backend_servers.admission import Load
from ragwortstand.backend_servers.announcements import Announcement
from ragwortstand.backend_servers.connections import end_to_end
from ragwortstand.backend_servers.server import BackendServer, BackendState

__all__ = (
    'Announcement',
    'BackendServer',
    'BackendState',
    'Load',
    'end_to_end',
)
