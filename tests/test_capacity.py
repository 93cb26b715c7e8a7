"""Tests of the capacity page."""

import pathlib
import unittest

from ragwortstand.tools.capacity import fit, render

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'


class CapacityTest(unittest.TestCase):
    """The capacity page and the line fit behind it."""

    def test_page_is_the_computed_one(self) -> None:
        """The committed page equals the one rendered from measurements."""
        page = (_DOCS / 'CAPACITY.md').read_text()
        self.assertEqual(page, render(_DOCS / 'measurements'))

    def test_fit(self) -> None:
        """The fit of collinear points is the line through them."""
        line = fit([(1, 5), (2, 7), (4, 11)])
        self.assertAlmostEqual(line.at(10), 23)

    def test_fit_of_one_size(self) -> None:
        """Points of a single size give a horizontal line at their mean."""
        self.assertAlmostEqual(fit([(3, 5), (3, 7)]).at(100), 6)
