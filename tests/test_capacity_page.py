"""The capacity page and the sums that it shows cannot differ."""

import pytest

from bench import capacity
from bench import fitting


def test_page_shows_what_the_committed_slopes_give():
    worked_out = capacity.table(capacity.rows(capacity.load()))
    assert worked_out in capacity.PAGE.read_text('utf-8')


def test_every_slope_was_measured_at_four_sizes_or_is_a_constant():
    for name, line in capacity.load().lines.items():
        assert len(line.sizes) >= 4 or line.slope == 0, name


def test_control_of_every_daemon_stays_within_the_target():
    for row in capacity.rows(capacity.load()):
        assert row.verdict != 'MISSES', (row.role, row.figure, row.value)


def test_line_goes_through_exact_points():
    line = fitting.fit('bytes per member', (1, 2, 3, 4), (5, 7, 9, 11))
    assert line.slope == pytest.approx(2)
    assert line.intercept == pytest.approx(3)
    assert line.slope_error == pytest.approx(0)
    assert line.at(10) == pytest.approx(23)
