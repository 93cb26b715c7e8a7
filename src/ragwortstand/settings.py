"""ragwortstand.settings: the daemon's settings, checked in full at start."""

import pathlib
from typing import Annotated, Literal, TypeVar

import msgspec

from ragwortstand.exceptions import Fault, SettingsError
from ragwortstand.struct_validation import struct_faults

_Name = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z')
]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
_Interval = Annotated[float, msgspec.Meta(gt=0, le=60)]
_MEBIBYTE = 1024 * 1024


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings; `validated` checks what constructors don't."""


_SettingsT = TypeVar('_SettingsT', bound=_Settings)


class Listen(_Settings, frozen=True, kw_only=True):
    """An address to listen on.

    :param address: IP number.
    :param port: TCP port; 0 lets the operating system choose one.
    """

    address: str = '127.0.0.1'
    port: _Port = 0


class PeerSettings(Listen, frozen=True, kw_only=True):
    """The side of the daemon that other daemons talk to.

    :param advertised: ``address:port`` that others use, where it differs from
        the one listened on; empty for none.
    """

    advertised: Annotated[str, msgspec.Meta(pattern=r'^([0-9.]+:\d+)?\Z')] = ''


class AdminSettings(Listen, frozen=True, kw_only=True):
    """The operators' side of the daemon.

    :param token: bearer token that operators present.
    """

    token: Annotated[str, msgspec.Meta(min_length=16, max_length=256)]


class PlatformSettings(_Settings, frozen=True, kw_only=True):
    """The platform's table service and object store.

    :param url: base URL of both.
    :param region: region that holds the store.
    :param timeout_s: time to wait for one answer.
    :param poll_interval_s: time between two reads of the newest version by
        the daemons that read it for their region.
    """

    url: Annotated[str, msgspec.Meta(pattern='^http://')]
    region: _Name
    timeout_s: _Interval = 2.0
    poll_interval_s: _Interval = 1.0


class LimitSettings(_Settings, frozen=True, kw_only=True):
    """Bounds on what callers may ask for.

    :param max_request_bytes: size of a request's body.
    :param max_answer_bytes: size of an answer's body.
    :param max_reading_bytes: size of the bodies of all answers that are being
        read from the backend server.
    :param max_in_flight: requests that the daemon holds at once.
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
    """How the daemon calls the backend server beside it.

    :param client: HTTP client; ``httpcore`` is the baseline.
    :param idle_reuse_s: age up to which an idle connection is used again.
    :param strict_idle_reuse_s: the same for requests that are not idempotent.
    :param announce_timeout_s: silence after which an announced backend
        server counts as gone.
    """

    client: Literal['httptools', 'httpcore'] = 'httptools'
    idle_reuse_s: _Interval = 10.0
    strict_idle_reuse_s: _Interval = 2.0
    announce_timeout_s: _Interval = 5.0


class MembershipSettings(_Settings, frozen=True, kw_only=True):
    """How daemons watch each other.

    :param probe_interval_s: time between two probes by one daemon.
    :param probe_timeout_s: time to wait for the answer to a probe.
    :param suspicion_s: time that a suspect has to refute.
    :param departed_s: how long a departed member is remembered.
    :param news_fanout: members that are told of a change at once.
    :param news_repeats: how often a change is passed on with probes; None
        lets it grow with the logarithm of the fleet.
    :param difference_s: how long two lists may differ before one is fetched.
    """

    probe_interval_s: _Interval = 1.0
    probe_timeout_s: _Interval = 0.4
    suspicion_s: _Interval = 2.0
    departed_s: Annotated[float, msgspec.Meta(gt=0, le=604_800)] = 86_400.0
    news_fanout: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    news_repeats: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = None
    difference_s: _Interval = 8.0


class ClaimSettings(_Settings, frozen=True, kw_only=True):
    """How requests with an idempotency key are kept from running twice.

    :param window_s: time within which callers repeat a request.
    """

    window_s: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = 600.0


class PolicySettings(_Settings, frozen=True, kw_only=True):
    """Which policy decides; all but the defaults are baselines.

    :param admission: order in which queued requests get slots.
    :param choice: choice of the backend server.
    :param retry: when a failed request is tried elsewhere.
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
        platform's table service is out of reach.
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
    """Read settings and check all of them.

    :param text: JSON text.
    :raises SettingsError: with every fault that was found.
    """
    try:
        document = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Fault('$', str(error))]) from error
    return _validate(document, DaemonSettings)


def validated(settings: _SettingsT) -> _SettingsT:
    """Return settings that were put together in code, once they are sound.

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
    """Read a settings file and check all of it.

    :param path: path of a JSON file.
    :raises SettingsError: when the file can't be read or has faults.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = f'cannot read {path}: {error.strerror}'
        raise SettingsError([Fault('$', problem)]) from error
    return parse_settings(text)
