"""ragwortstand.settings: the daemon's settings, validated at start."""

import pathlib
from typing import Annotated, Literal, TypeVar

import msgspec

from ragwortstand.decoding import decode_json
from ragwortstand.exceptions import Fault, SettingsError
from ragwortstand.struct_validation import struct_faults

_Name = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z')
]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
_Interval = Annotated[float, msgspec.Meta(gt=0, le=60)]
_MEBIBYTE = 1024 * 1024


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all settings.

    Constructors do not check bounds; `parse_settings` and `validated` do.
    """


_SettingsT = TypeVar('_SettingsT', bound=_Settings)


class Listen(_Settings, frozen=True, kw_only=True):
    """An address to listen on.

    :param address: IP number.
    :param port: TCP port; 0 lets the operating system choose one.
    """

    address: str = '127.0.0.1'
    port: _Port = 0


class PeerSettings(Listen, frozen=True, kw_only=True):
    """The address on which the daemon accepts other daemons.

    :param advertised: ``address:port`` that others connect to, if it differs
        from the one listened on; empty for none.
    """

    advertised: Annotated[str, msgspec.Meta(pattern=r'^([0-9.]+:\d+)?\Z')] = ''


class AdminSettings(Listen, frozen=True, kw_only=True):
    """The address and access token of the operators' API.

    :param token: bearer token that operators present.
    """

    token: Annotated[str, msgspec.Meta(min_length=16, max_length=256)]


class PlatformSettings(_Settings, frozen=True, kw_only=True):
    """The platform's table service and object store.

    :param url: base URL of both.
    :param region: region that holds the store.
    :param timeout_s: time to wait for one response.
    :param poll_interval_s: time between two reads of the newest version by
        the daemons that read it for their region.
    """

    url: Annotated[str, msgspec.Meta(pattern='^http://')]
    region: _Name
    timeout_s: _Interval = 2.0
    poll_interval_s: _Interval = 1.0


class LimitSettings(_Settings, frozen=True, kw_only=True):
    """Limits on requests and responses.

    :param max_request_bytes: maximum size of a request's body.
    :param max_answer_bytes: maximum size of a response's body.
    :param max_reading_bytes: maximum total size of the bodies of all
        responses that are being read from the backend server.
    :param max_in_flight: maximum number of requests in progress at once.
    """

    max_request_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 * _MEBIBYTE)] = (
        _MEBIBYTE
    )
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=0, le=256 * _MEBIBYTE)] = (
        8 * _MEBIBYTE
    )
    max_reading_bytes: Annotated[
        int, msgspec.Meta(ge=0, le=1024 * _MEBIBYTE)
    ] = 64 * _MEBIBYTE
    max_in_flight: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1000


class BackendServerSettings(_Settings, frozen=True, kw_only=True):
    """How the daemon connects to its backend server.

    :param client: HTTP client; ``httpcore`` is the baseline.
    :param idle_reuse_s: idle time up to which a connection is reused.
    :param strict_idle_reuse_s: the same for requests that are not idempotent.
    :param announce_timeout_s: time without an announcement after which a
        backend server is considered gone.
    """

    client: Literal['httptools', 'httpcore'] = 'httptools'
    idle_reuse_s: _Interval = 10.0
    strict_idle_reuse_s: _Interval = 2.0
    announce_timeout_s: _Interval = 5.0


class MembershipSettings(_Settings, frozen=True, kw_only=True):
    """Membership protocol: how daemons detect each other's failures.

    :param probe_interval_s: time between two probes by one daemon.
    :param probe_timeout_s: time to wait for the reply to a probe.
    :param suspicion_s: time that a suspected member has to refute the
        suspicion.
    :param departed_s: how long the entry of a departed member is kept.
    :param news_fanout: number of members that a change is sent to at once.
    :param news_repeats: how often a change is attached to probes; None makes
        it grow with the logarithm of the number of members.
    :param difference_s: how long two member lists may differ before one is
        fetched.
    """

    probe_interval_s: _Interval = 1.0
    probe_timeout_s: _Interval = 0.4
    suspicion_s: _Interval = 2.0
    departed_s: Annotated[float, msgspec.Meta(gt=0, le=604_800)] = 86_400.0
    news_fanout: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    news_repeats: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = None
    difference_s: _Interval = 8.0


class ClaimSettings(_Settings, frozen=True, kw_only=True):
    """Deduplication of requests that have an idempotency key.

    :param window_s: time within which callers repeat a request.
    """

    window_s: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = 600.0


class PolicySettings(_Settings, frozen=True, kw_only=True):
    """Policies of the daemon; values other than the defaults are baselines.

    :param admission: order in which queued requests get slots.
    :param choice: how a backend server is chosen.
    :param retry: when a failed request is retried on another server.
    :param distribution: how versions reach a daemon; ``poll`` reads the whole
        configuration from the store at each interval.
    """

    admission: Literal['shares', 'fifo'] = 'shares'
    choice: Literal['signals', 'random'] = 'signals'
    retry: Literal['budget', 'naive'] = 'budget'
    distribution: Literal['push', 'poll'] = 'push'


class DaemonSettings(_Settings, frozen=True, kw_only=True):
    """All settings of one daemon.

    :param cluster: name that the daemons of one system share.
    :param host: unique name of this host.
    :param region: region of this host.
    :param availability_zone: availability zone of this host.
    :param entry_points: addresses of daemons to join through while the
        platform's table service is unavailable.
    """

    cluster: _Name
    host: _Name
    region: _Name
    availability_zone: _Name
    admin: AdminSettings
    platform: PlatformSettings
    callers: Listen = Listen()
    peers: PeerSettings = PeerSettings()
    entry_points: tuple[str, ...] = ()
    limits: LimitSettings = LimitSettings()
    backend_server: BackendServerSettings = BackendServerSettings()
    membership: MembershipSettings = MembershipSettings()
    claims: ClaimSettings = ClaimSettings()
    policies: PolicySettings = PolicySettings()


def parse_settings(text: str | bytes) -> DaemonSettings:
    """Parse and validate settings.

    :param text: JSON text.
    :raises SettingsError: with every fault that was found.
    """
    try:
        document = decode_json(text, object)
    except msgspec.DecodeError as error:
        raise SettingsError([Fault('$', str(error))]) from error
    return _validate(document, DaemonSettings)


def validated(settings: _SettingsT) -> _SettingsT:
    """Return settings that were constructed in code after validating them.

    :param settings: the settings.
    :raises SettingsError: with every fault that was found.
    """
    return _validate(msgspec.to_builtins(settings), type(settings))


def _validate(document: object, settings_type: type[_SettingsT]) -> _SettingsT:
    faults = tuple(struct_faults(document, settings_type))
    if faults:
        raise SettingsError(faults)
    return msgspec.convert(document, settings_type, strict=False)


def load_settings(path: str) -> DaemonSettings:
    """Read and validate a settings file.

    :param path: path of a JSON file.
    :raises SettingsError: if the file can't be read or has faults.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = f'cannot read {path}: {error.strerror}'
        raise SettingsError([Fault('$', problem)]) from error
    return parse_settings(text)
