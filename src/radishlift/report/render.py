"""The burn report as a text table and as an SVG plot."""

from html import escape
from typing import Final

from radishlift.report.burn import BurnLine, BurnReport, WindowBurn

_HEADINGS: Final = (
    'department',
    'objective',
    'indicator',
    'limit ms',
    'target',
    'budget left',
    'burn 5m',
    'burn 1h',
    'burn 6h',
    'burn 3d',
    'p99 ms',
)
_NO_VALUE: Final = '-'

_ROW_HEIGHT: Final = 64
_BAR_HEIGHT: Final = 10
_LABEL_WIDTH: Final = 260
_PLOT_WIDTH: Final = 480
_WIDTH: Final = _LABEL_WIDTH + _PLOT_WIDTH + 80
_TOP_MARGIN: Final = 30
# Longer bars are cut at this burn rate; the number beside them is exact.
_MAX_SHOWN_RATE: Final = 15.0
_COLORS: Final = ('#b2182b', '#ef8a62', '#67a9cf', '#2166ac')


def render_table(report: BurnReport) -> str:
    """Renders the report as a text table with aligned columns."""
    rows = [list(_HEADINGS), *(_table_row(line) for line in report.lines)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    if report.missing:
        lines.append(f'no answer from: {", ".join(report.missing)}')
    return ''.join(f'{line}\n' for line in lines)


def render_svg(report: BurnReport) -> str:
    """Renders a bar for the burn rate of each objective and window."""
    height = _TOP_MARGIN + _ROW_HEIGHT * max(1, len(report.lines))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{height}" viewBox="0 0 {_WIDTH} {height}" '
        'font-family="sans-serif" font-size="11" role="img">',
        '<title>Burn rate of error budgets</title>',
        f'<text x="{_LABEL_WIDTH}" y="18">burn rate; the line is 1, '
        'at which the budget is just used up</text>',
    ]
    for index, line in enumerate(report.lines):
        parts.extend(_draw_line(line, _TOP_MARGIN + index * _ROW_HEIGHT))
    limit_x = _LABEL_WIDTH + _PLOT_WIDTH / _MAX_SHOWN_RATE
    parts.append(
        f'<line x1="{limit_x:g}" y1="{_TOP_MARGIN}" x2="{limit_x:g}" '
        f'y2="{height}" stroke="#333" stroke-dasharray="3 3"/>',
    )
    parts.append('</svg>')
    return '\n'.join(parts)


def _table_row(line: BurnLine) -> list[str]:
    rates = (_format_rate(burn) for burn in line.windows)
    return [
        line.department or _NO_VALUE,
        line.objective,
        line.indicator,
        str(line.limit_ms),
        f'{line.target_ratio:g}',
        _format_budget(line),
        *rates,
        _NO_VALUE if line.p99_ms is None else str(line.p99_ms),
    ]


def _format_rate(burn: WindowBurn) -> str:
    return _NO_VALUE if burn.burn_rate is None else f'{burn.burn_rate:.2f}'


def _format_budget(line: BurnLine) -> str:
    left = line.budget_left_ratio
    return _NO_VALUE if left is None else f'{100 * left:.1f}%'


def _draw_line(line: BurnLine, top: int) -> list[str]:
    label = escape(f'{line.department} / {line.objective}')
    detail = escape(f'{line.indicator}, budget left {_format_budget(line)}')
    parts = [
        f'<text x="4" y="{top + 18}" font-weight="bold">{label}</text>',
        f'<text x="4" y="{top + 34}">{detail}</text>',
    ]
    for index, burn in enumerate(line.windows):
        y = top + 4 + index * (_BAR_HEIGHT + 3)
        shown_rate = min(burn.burn_rate or 0, _MAX_SHOWN_RATE)
        width = _PLOT_WIDTH * shown_rate / _MAX_SHOWN_RATE
        text_x = _LABEL_WIDTH + width + 4
        parts.append(
            f'<rect x="{_LABEL_WIDTH}" y="{y}" width="{width:.1f}" '
            f'height="{_BAR_HEIGHT}" fill="{_COLORS[index]}"/>',
        )
        parts.append(
            f'<text x="{text_x:.1f}" y="{y + _BAR_HEIGHT - 1}">'
            f'{burn.window}: {_format_rate(burn)}</text>',
        )
    return parts


__all__ = ('render_svg', 'render_table')
