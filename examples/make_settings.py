"""Generate the daemons' settings files for the example deployments.

Each host is assigned its own IP address. Replace the token before use.
"""

import json
import pathlib

from ragwortstand.tools.deployment import Deployment, load_deployment

_ROOT = pathlib.Path(__file__).parent
_CALLERS_PORT = 7000
_PEERS_PORT = 7001
_ADMIN_PORT = 7002
_TOKEN = 'replace-this-token-before-use'
_PLATFORM_URL = 'http://10.0.0.1:8000'


def write_settings(folder: pathlib.Path) -> None:
    """Write one settings file for each host of an example deployment."""
    deployment = load_deployment(folder)
    settings_folder = folder / 'settings'
    settings_folder.mkdir(exist_ok=True)
    for number, host in enumerate(deployment.hosts, start=1):
        address = f'10.0.1.{number}'
        path = settings_folder / f'{host.name}.json'
        settings = _host_settings(deployment, number - 1, address)
        path.write_text(f'{json.dumps(settings, indent=2)}\n')


def _host_settings(
    deployment: Deployment,
    position: int,
    address: str,
) -> dict[str, object]:
    host = deployment.hosts[position]
    admin = {'address': address, 'port': _ADMIN_PORT, 'token': _TOKEN}
    return {
        'cluster': deployment.cluster,
        'host': host.name,
        'region': host.region,
        'availability_zone': host.availability_zone,
        'callers': {'address': address, 'port': _CALLERS_PORT},
        'peers': {'address': address, 'port': _PEERS_PORT},
        'admin': admin,
        'platform': {
            'url': _PLATFORM_URL,
            'region': deployment.store_region,
        },
    }


if __name__ == '__main__':
    for example in ('fichier', 'lustreline'):
        write_settings(_ROOT / example)
