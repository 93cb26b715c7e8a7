"""Tests of the page on capacity."""

import pathlib
import unittest

from ragwortstand.tools.capacity import fit, render

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'


class CapacityTest(unittest.TestCase):
    """The page follows from the measurements."""

    def test_page_is_the_computed_one(self) -> None:
        """The page in the repository is what the measurements give."""
        page = (_DOCS / 'CAPACITY.md').read_text()
        self.assertEqual(page, render(_DOCS / 'measurements'))

    def test_fit(self) -> None:
        """A line through points of a line is that line."""
        line = fit([(1, 5), (2, 7), (4, 11)])
        self.assertAlmostEqual(line.at(10), 23)

    def test_fit_of_one_size(self) -> None:
        """A single size gives a level line."""
        self.assertAlmostEqual(fit([(3, 5), (3, 7)]).at(100), 6)
