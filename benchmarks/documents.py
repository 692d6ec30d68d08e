"""Documents of realistic sizes for the benchmarks."""


def make_text(teams: int, racks: int, racks_per_partition: int) -> str:
    """Writes a document with two departments and their services."""
    blocks = [
        '[department:rug-depot]\npolicy = waiting_first\n',
        '[department:school-kits]\npolicy = packing_first\n',
        '[service:rugdesk]\ndepartment = rug-depot\n',
        '[service:kit-desk]\ndepartment = school-kits\n',
    ]
    blocks.extend(
        f'[team:team-{number:04d}]\ndepartment = rug-depot\n'
        f'cpu_milli = 240000\nmemory_mb = 512000\n'
        for number in range(teams)
    )
    for first in range(0, racks, racks_per_partition):
        last = min(racks, first + racks_per_partition)
        names = ', '.join(
            f'region-1/rack-{rack:04d}' for rack in range(first, last)
        )
        blocks.append(f'[partition:p{first:04d}]\nracks = {names}\n')
    return '\n'.join(blocks)


def current_text() -> str:
    """Writes a document for the current cell: 24 workers in 3 racks."""
    return make_text(20, 3, 1)


def two_year_text() -> str:
    """Writes a document for 550 teams and 28,000 workers, 8 to a rack."""
    return make_text(550, 3500, 50)


__all__ = ('current_text', 'make_text', 'two_year_text')
