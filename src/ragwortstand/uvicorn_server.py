"""ragwortstand.uvicorn_server: uvicorn server without signal handlers."""

import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn

_KEEP_ALIVE_S = 30
_BACKLOG = 512


class UvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    The process has other tasks and handles signals itself.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do not change the signal handlers."""
        yield


def create_uvicorn_server(
    app: Any,
    *,
    keep_alive_s: int = _KEEP_ALIVE_S,
    max_connections: int | None = None,
) -> UvicornServer:
    """Return a server for an ASGI application.

    :param app: the application.
    :param keep_alive_s: time after which an idle connection is closed.
    :param max_connections: open connections beyond which requests get 503;
        None for no limit.
    """
    config = uvicorn.Config(
        app,
        http='httptools',
        loop='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        ws='none',
        backlog=_BACKLOG,
        timeout_keep_alive=keep_alive_s,
        # The limit of uvicorn is the first number that is refused.
        limit_concurrency=max_connections and max_connections + 1,
    )
    return UvicornServer(config)
