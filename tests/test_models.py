"""Configuration types of operators and daemons have the same schema."""

import json
import unittest
from collections.abc import Iterator
from typing import Any, TypeAlias

import msgspec
from pydantic import TypeAdapter

import ragwortstand
from ragwortstand import authoring, models
from ragwortstand.exceptions import ConfigurationError
from ragwortstand.ids import Version
from ragwortstand.versions import Snapshot
from tests.fakes import MESH

_TYPE_NAMES = (
    'Rank',
    'Service',
    'WeightedService',
    'CallerLimits',
    'Route',
    'Configuration',
)
_Document: TypeAlias = dict[str, Any]

_VALID_DOCUMENTS: dict[str, _Document] = {
    'Rank': {'name': 'r'},
    'Service': {'name': 's'},
    'WeightedService': {'service': 's', 'weight': 1},
    'CallerLimits': {},
    'Route': {'path': '/', 'service': 's', 'rank': 'r'},
    'Configuration': {'ranks': [], 'services': []},
}
# Values just inside and just outside the bounds of the fields.
_NUMBERS = (
    *(-1, -0.001, 0, 0.001, 0.5, 1, 1.001, 2, 100, 101, 255, 256, 600),
    *(600.001, 3600, 3600.1, 1_000_000, 1_000_000.1, 1 << 20),
    *((1 << 20) + 1, 1 << 30, (1 << 30) + 1),
)
_TEXTS = (
    *('', 'a', 'A', 'a b', 'a\n', '-a', '.a', 'a.b-c_d', 'é', '0'),
    *('a' * 63, 'a' * 64, '/' + 'a' * 511, '/' + 'a' * 512),
    *('a' * 253, 'a' * 254, '/', '/a/b', '/a?b', '/a#b', '/a b', '/a\n'),
)
_OTHERS = (
    *(None, True, False, [], ['GET'], ['get'], [''], ['GET', 'P\n'], {}),
    *([{}], [{'service': 's', 'weight': 1}], [{'service': 's'}]),
    *([{'service': 's', 'weight': 0}], [{'service': 'S', 'weight': 1}]),
    *({'max_body_bytes': 0}, {'max_body_bytes': -1}, {'unknown': 1}),
)


def _is_accepted(schema: Any, document: object) -> bool:
    try:
        msgspec.json.decode(msgspec.json.encode(document), type=schema)
    except msgspec.ValidationError:
        return False
    return True


def _is_accepted_by_authoring(schema: Any, document: object) -> bool:
    adapter = TypeAdapter(schema)
    try:
        adapter.validate_json(msgspec.json.encode(document), strict=True)
    except ValueError:
        return False
    return True


def _cases() -> Iterator[tuple[str, _Document]]:
    for type_name in _TYPE_NAMES:
        valid = _VALID_DOCUMENTS[type_name]
        yield type_name, valid
        yield type_name, {**valid, 'unknown': 1}
        for name in valid:
            yield type_name, {key: valid[key] for key in valid if key != name}
        for field in msgspec.structs.fields(getattr(models, type_name)):
            for value in (*_NUMBERS, *_TEXTS, *_OTHERS):
                yield type_name, {**valid, field.name: value}


class SameSchemaTests(unittest.TestCase):
    """Daemons accept exactly the documents that operators may write."""

    def test_fields_and_defaults(self) -> None:
        for type_name in _TYPE_NAMES:
            schema = getattr(authoring, type_name)
            operators = schema(**_VALID_DOCUMENTS[type_name]).model_dump(
                mode='json'
            )
            daemons = msgspec.convert(
                _VALID_DOCUMENTS[type_name], getattr(models, type_name)
            )
            with self.subTest(type_name):
                text = msgspec.json.encode(daemons)
                self.assertEqual(json.loads(text), operators)

    def test_bounds(self) -> None:
        for type_name, document in _cases():
            daemons = _is_accepted(getattr(models, type_name), document)
            operators = _is_accepted_by_authoring(
                getattr(authoring, type_name), document
            )
            with self.subTest(type_name=type_name, document=str(document)[:80]):
                self.assertEqual(daemons, operators)

    def test_what_operators_print_is_decoded(self) -> None:
        content = MESH.to_json().encode()
        mesh = models.decode(content)
        self.assertEqual(mesh.to_json().encode(), content)


class DecodeTests(unittest.TestCase):
    """Invalid content is refused with a reason."""

    def _problem(self, content: bytes) -> str:
        with self.assertRaises(ConfigurationError) as caught:
            models.decode(content)
        return str(caught.exception)

    def test_the_place_is_named(self) -> None:
        content = b'{"ranks":[{"name":"A B"}],"services":[]}'
        self.assertIn('$.ranks[0].name', self._problem(content))

    def test_unreadable_and_oversized(self) -> None:
        for content in (b'', b'{', b'\xff', b'[]', b'{"ranks":[],"a":"\xff"}'):
            self.assertTrue(self._problem(content))
        large = b' ' * (models.MAX_CONFIGURATION_BYTES + 1)
        self.assertIn('larger than', self._problem(large))

    def test_faults_between_the_parts(self) -> None:
        content = (
            b'{"ranks":[{"name":"a"}],"services":[{"name":"s"}],'
            b'"routes":[{"path":"/x","service":"t","rank":"b"}]}'
        )
        problem = self._problem(content)
        self.assertIn('$.routes[0].service', problem)
        self.assertIn('$.routes[0].rank', problem)
        operators = ragwortstand.check(content)
        self.assertEqual(problem, '\n'.join(map(str, operators)))


class ConfigurationReaderTests(unittest.TestCase):
    """Decoding of successive versions."""

    def setUp(self) -> None:
        """Decode a first version."""
        self.reader = models.ConfigurationReader()
        self.first = self.reader.decode(MESH.to_json().encode())

    def _round_trip(self, mesh: models.Configuration) -> models.Configuration:
        """Encode and decode a configuration, and check that it is equal."""
        decoded = self.reader.decode(mesh.to_json().encode())
        self.assertEqual(decoded, mesh)
        return decoded

    def test_unchanged_routes_are_used_again(self) -> None:
        changed = msgspec.structs.replace(
            self.first.routes[1], deadline_s=1.0, max_attempts=2
        )
        mesh = msgspec.structs.replace(
            self.first, routes=(changed, self.first.routes[0])
        )
        decoded = self._round_trip(mesh)
        self.assertIs(decoded.routes[1], self.first.routes[0])
        self.assertEqual(decoded.routes[0].deadline_s, 1)

    def test_unchanged_route_whose_names_are_gone(self) -> None:
        for field_name in ('services', 'ranks'):
            left = {field_name: getattr(self.first, field_name)[1:]}
            mesh = msgspec.structs.replace(self.first, **left)
            with (
                self.subTest(field_name),
                self.assertRaises(ConfigurationError),
            ):
                self.reader.decode(mesh.to_json().encode())
        self._round_trip(self.first)

    def test_the_place_in_the_whole_document_is_named(self) -> None:
        text = self.first.to_json().replace('"/slips"', '"slips"')
        with self.assertRaises(ConfigurationError) as caught:
            self.reader.decode(text.encode())
        self.assertRegex(str(caught.exception), r'\$\.routes\[0\]\.path')
        self._round_trip(self.first)

    def test_a_new_version_brings_its_own_services(self) -> None:
        services = tuple(
            msgspec.structs.replace(service, max_connections=7)
            for service in self.first.services
        )
        mesh = msgspec.structs.replace(self.first, services=services)
        snapshot = Snapshot(Version(2), self._round_trip(mesh), b'')
        match = snapshot.match('GET', '/slips')
        assert match
        self.assertEqual(match.service.max_connections, 7)
