"""ragwortstand.platform.settings: decodes the platform's settings file."""

import pathlib

import msgspec

from ragwortstand.decoding import decode_json
from ragwortstand.exceptions import Fault, SettingsError
from ragwortstand.ids import PeerAddress
from ragwortstand.peers.shared_budget import RetryBudget
from ragwortstand.settings import (
    AdminSettings,
    BackendServerSettings,
    DaemonSettings,
    LimitSettings,
    Listen,
    MembershipSettings,
    PeerSettings,
    PlatformSettings,
    validated,
)
from ragwortstand.sidecar_dependencies import SidecarSettings

_CLUSTER = 'mesh'
# Metrics have a separate port, which the deploy file names too.
METRICS_PORT = 9464
_DEFAULT_GRACE_S = 6.0
# Operators use the platform's interface; the admin interface is not served.
_UNUSED_TOKEN = 'not-served-on-this-platform'
_MAX_BODY_BYTES = 64 * 1024 * 1024
# For all responses that are being read together; the smallest hosts have
# 200 MB, and a whole response is copied more than once on its way to the
# caller.
_MAX_READING_BYTES = 32 * 1024 * 1024
# Heartbeat intervals without a heartbeat after which a backend server is
# treated as gone; single heartbeats may be missing or late.
_MISSED_HEARTBEATS = 4
# Backend servers close idle connections after a few seconds.
_IDLE_REUSE_S = 4.0
_STRICT_IDLE_REUSE_S = 1.0
# Departed members are kept for the length of a rolling restart.
_DEPARTED_S = 60.0
# Membership updates are sent directly to up to this number of members, so that
# little is left to forward; comparing digests of the member lists finds the
# updates that were missed.
_GOSSIP_FANOUT = 100
_GOSSIP_REPEATS = 2
_ANTI_ENTROPY_INTERVAL_S = 2.0


class _ListenAddresses(msgspec.Struct, frozen=True):
    # Address for the other daemons.
    inbound: str
    # Address for requests of the callers on this host.
    outbound: str
    ready: str
    # Address for the heartbeats of the backend server.
    control: str | None = None


class _Store(msgspec.Struct, frozen=True):
    address: str


class NodeSettings(msgspec.Struct, frozen=True, rename='camel'):
    """Settings of this host, with the field names of the platform's file.

    :param node_name: unique name of the host.
    :param zone: its availability zone.
    :param app_addr: ``host:port`` of the backend server.
    :param service: service of the backend server.
    :param provider: address of the platform's store.
    :param heartbeat_ms: interval of the backend server's heartbeats.
    :param bounds: values of the platform's rules, as ``name=value``.
    """

    node_name: str
    zone: str
    region: str
    listen: _ListenAddresses
    app_addr: str
    service: str
    provider: _Store
    seeds: list[str] = []
    heartbeat_ms: float = 1500.0
    bounds: list[str] = []

    def bound(self, name: str, default: float) -> float:
        """Return a value of the platform's rules.

        :param name: name of the value.
        :param default: value where the file doesn't have it.
        :raises SettingsError: when the value is not a number.
        """
        for entry in self.bounds:
            key, _, text = entry.partition('=')
            if key == name:
                try:
                    return float(text)
                except ValueError as error:
                    fault = Fault('$.bounds', f'{entry!r} is not a number')
                    raise SettingsError([fault]) from error
        return default

    def sidecar(self) -> SidecarSettings:
        """Return the sidecar's settings.

        :raises SettingsError: when a value is missing or out of bounds.
        """
        _parse_address(self.provider.address, '$.provider.address')
        outbound = _parse_address(self.listen.outbound)
        inbound = _parse_address(self.listen.inbound)
        return SidecarSettings(
            daemon=validated(self._daemon_settings(outbound, inbound)),
            ready=_parse_address(self.listen.ready),
            control=_parse_address(self.listen.control or ''),
            metrics=Listen(address=inbound.address, port=METRICS_PORT),
            seeds=tuple(
                PeerAddress(
                    f'tcp://{_parse_address(seed).address}:{inbound.port}'
                )
                for seed in self.seeds
                if _parse_address(seed).address != inbound.address
            ),
            retry_terms=RetryBudget(
                ratio=self.bound('retryRatio', RetryBudget().ratio),
                slack=self.bound('retrySlack', RetryBudget().slack),
                window_s=self.bound('retryWindowS', RetryBudget().window_s),
            ),
            grace_s=self.bound('graceS', _DEFAULT_GRACE_S),
        )

    def _daemon_settings(
        self, outbound: Listen, inbound: Listen
    ) -> DaemonSettings:
        announce_timeout_s = self.heartbeat_ms / 1000 * _MISSED_HEARTBEATS
        return DaemonSettings(
            cluster=_CLUSTER,
            host=self.node_name,
            region=self.region,
            availability_zone=self.zone,
            admin=AdminSettings(token=_UNUSED_TOKEN),
            platform=PlatformSettings(
                url=f'http://{self.provider.address}', region=self.region
            ),
            callers=outbound,
            peers=PeerSettings(address=inbound.address, port=inbound.port),
            limits=LimitSettings(
                max_request_bytes=_MAX_BODY_BYTES,
                max_answer_bytes=_MAX_READING_BYTES,
                max_reading_bytes=_MAX_READING_BYTES,
            ),
            backend_server=BackendServerSettings(
                idle_reuse_s=_IDLE_REUSE_S,
                strict_idle_reuse_s=_STRICT_IDLE_REUSE_S,
                announce_timeout_s=announce_timeout_s,
            ),
            membership=MembershipSettings(
                departed_s=_DEPARTED_S,
                news_fanout=_GOSSIP_FANOUT,
                news_repeats=_GOSSIP_REPEATS,
                difference_s=_ANTI_ENTROPY_INTERVAL_S,
            ),
        )


def load_node_settings(path: str) -> NodeSettings:
    """Read the settings file.

    :param path: path of the JSON file.
    :raises SettingsError: when it can't be read or lacks a field.
    """
    try:
        return decode_json(pathlib.Path(path).read_bytes(), NodeSettings)
    except OSError as error:
        problem = f'cannot read {path}: {error.strerror}'
        raise SettingsError([Fault('$', problem)]) from error
    except msgspec.DecodeError as error:
        raise SettingsError([Fault('$', str(error))]) from error


def _parse_address(address: str, path: str = '$.listen') -> Listen:
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        fault = Fault(path, f'{address!r} is not host:port')
        raise SettingsError([fault])
    return validated(Listen(address=host, port=int(port)))
