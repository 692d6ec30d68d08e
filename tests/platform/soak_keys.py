"""Keys of callers in the soak test: they are replaced while faults happen."""

import asyncio
import random
import time
from itertools import count

from tests.platform.soak_faults import FAULTS
from tests.platform.test_documents import CONFIG

REVOKE_S = 5.0
CONFIG_S = 3.0
BOUNDS = f"""
strictRevoke = true
revokeMs = {REVOKE_S * 1000:.0f}
configMs = {CONFIG_S * 1000:.0f}
"""
STEADY_KEY = 'steady'
LIMITED_KEY = 'limited'
UNKNOWN_KEY = 'unknown'
CALL_INTERVAL_S = 0.05
READ_WAIT_S = 1.2
# Calls are sent for this long after a key must not be served any more.
UNSEEN_S = REVOKE_S + 1.5


class KeyWatch:
    """The keys of the configuration, and the calls with any of them.

    The jobs of the soak use a key that stays.
    """

    def __init__(self):
        self.config = {}
        # Apart from the random numbers that choose the faults of a seed.
        self.random = random.Random(0)
        self.keys = []
        self.limit_cpu = 0
        self.versions = count(CONFIG['version'] + 1)
        self.revoked_s = {}
        self.calls = []
        self.had_unseen_removal = False
        self.replace_key()

    def replace_key(self):
        """Makes a configuration with a new key of the second workspace."""
        self.keys.append(f'key-{len(self.keys)}')
        self._make_config()

    def set_limit(self, cpu):
        """Makes a configuration with a limit of the third workspace."""
        self.limit_cpu = cpu
        self._make_config()

    def record_revocation(self):
        """Records that the store has the latest configuration."""
        for key in self.keys[:-1]:
            self.revoked_s.setdefault(key, time.monotonic())

    async def call(self, soak):
        """Calls any daemons with any keys until it is cancelled."""
        calls = set()
        while True:
            key = self.random.choice([UNKNOWN_KEY, *self.keys])
            call = asyncio.create_task(self._call(soak, key))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(CALL_INTERVAL_S)

    async def find_unserved(self, soak):
        """Returns the daemons that do not serve the current key in time."""
        end_s = time.monotonic() + REVOKE_S
        unserved = set(soak.names)
        while unserved and time.monotonic() < end_s:
            for name in sorted(unserved):
                status, _ = await soak.send(
                    name, 'GET', '/q/', key=self.keys[-1]
                )
                if status == 200:
                    unserved.discard(name)
            await asyncio.sleep(CALL_INTERVAL_S)
        return unserved

    def violations(self):
        """Yields a text for each key that was served and must not be."""
        for sent_s, key, status in self.calls:
            if status != 200:
                continue
            if key == UNKNOWN_KEY:
                yield 'an unknown key was served'
            after_s = sent_s - self.revoked_s.get(key, sent_s)
            if after_s > REVOKE_S:
                yield f'{key} was served {after_s:.2f} s after its removal'

    def _make_config(self):
        limit = {'cpu': self.limit_cpu}
        self.config = {
            **CONFIG,
            'version': next(self.versions),
            'tenants': [
                {'name': 'w1', 'apiKeys': [STEADY_KEY]},
                {'name': 'w2', 'apiKeys': [self.keys[-1]]},
                {'name': 'w3', 'apiKeys': [LIMITED_KEY], 'maxCount': limit},
            ],
        }

    async def _call(self, soak, key):
        name = self.random.choice(soak.names)
        sent_s = time.monotonic()
        status, _ = await soak.send(name, 'GET', '/q/', key=key)
        self.calls.append((sent_s, key, status))


@FAULTS.register('replace_key')
async def replace_key(soak):
    soak.key_watch.replace_key()
    soak.store.put('op', '', 'config', soak.key_watch.config)
    soak.key_watch.record_revocation()


@FAULTS.register('removal_unseen')
async def removal_unseen(soak):
    """Removes a key while no daemon can read the store, once in a seed."""
    if soak.key_watch.had_unseen_removal:
        return
    soak.key_watch.had_unseen_removal = True
    with soak.store_outage():
        # Reads that wait are still answered.
        await asyncio.sleep(READ_WAIT_S)
        await replace_key(soak)
        await asyncio.sleep(UNSEEN_S)
