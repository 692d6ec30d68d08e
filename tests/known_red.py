"""Prints the tests that are known to fail, from KNOWN-RED.txt."""

from pathlib import Path

KNOWN_RED_PATH = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red_ids() -> tuple[str, ...]:
    """Returns the listed test ids; other lines of the file are ignored."""
    lines = KNOWN_RED_PATH.read_text(encoding='utf-8').splitlines()
    return tuple(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )


def main() -> None:
    """Prints the number of listed tests and their ids."""
    ids = known_red_ids()
    print(f'{len(ids)} known red tests')
    for test_id in ids:
        print(f'known red, passed over: {test_id}')


if __name__ == '__main__':
    main()
