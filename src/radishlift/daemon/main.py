"""The program radishliftd."""

import asyncio
import signal
import sys
from argparse import ArgumentParser
from pathlib import Path
from typing import Final

from radishlift.core.garbage import reduce_collections
from radishlift.core.logs import setup_logs
from radishlift.daemon.lifecycle import Daemon
from radishlift.settings.daemon import DaemonSettings
from radishlift.settings.loader import Settings, load_settings
from radishlift.wire.tls import TlsSettings, check_tls

EXIT_SETTINGS: Final = 2


def main() -> int:
    """Runs the daemon.

    Returns the exit status: 2 for invalid settings, 3 after a fault, else 0.
    """
    parser = ArgumentParser(
        prog='radishliftd',
        description='Daemon of the radishlift cluster scheduler.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        help='INI file with the settings of this daemon',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='only check the settings',
    )
    options = parser.parse_args()
    settings = load_settings(options.settings)
    if isinstance(settings, Settings):
        settings = check_tls(settings.get(TlsSettings)) or settings
    if not isinstance(settings, Settings):
        for error in settings:
            print(f'{options.settings}: {error}', file=sys.stderr)
        return EXIT_SETTINGS
    if not options.check:
        setup_logs(settings.get(DaemonSettings).log_level)
        return asyncio.run(_run(settings))
    return 0


async def _run(settings: Settings) -> int:
    daemon = Daemon(settings)
    reduce_collections()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.request_stop)
    loop.add_signal_handler(signal.SIGINT, daemon.request_stop)
    return await daemon.run()


if __name__ == '__main__':
    sys.exit(main())
