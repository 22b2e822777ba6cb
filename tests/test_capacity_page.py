"""The table of the capacity page matches the committed measurements."""

import pytest

from bench import capacity
from bench import fitting


def test_page_holds_the_table_of_the_committed_measurements():
    table = capacity.markdown_table(capacity.all_rows(capacity.load_measurements()))
    assert table in capacity.PAGE.read_text('utf-8')


def test_every_line_has_at_least_four_sizes_or_slope_zero():
    for name, line in capacity.load_measurements().lines.items():
        assert len(line.sizes) >= 4 or line.slope == 0, name


def test_no_figure_exceeds_its_limit():
    for row in capacity.all_rows(capacity.load_measurements()):
        assert row.verdict != 'MISSES', (row.role, row.figure, row.value)


def test_fit_recovers_the_line_of_collinear_points():
    line = fitting.fit('bytes per member', (1, 2, 3, 4), (5, 7, 9, 11))
    assert line.slope == pytest.approx(2)
    assert line.intercept == pytest.approx(3)
    assert line.slope_error == pytest.approx(0)
    assert line.at(10) == pytest.approx(23)
