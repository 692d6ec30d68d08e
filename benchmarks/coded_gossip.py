"""Coded-shard gossip, compared with direct pushes of the configuration.

After "OPTIMUMP2P: Fast and Reliable Gossiping in P2P Networks" (Nicolaou et
al.): a message is split into shards, and peers exchange random linear
combinations of them. A peer forwards new combinations once its rank reaches a
threshold, and sends the others a stop message once it can decode. Coefficients
are bits (GF(2)), because Python computes the XOR of large integers quickly.
"""

import asyncio
import random
from dataclasses import dataclass

from radishlift.core.ids import DaemonId
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork

SHARDS_COUNT = 8
FORWARD_RANK = 4
MESH_DEGREE = 6
REPAIR_S = 0.002


@message('bench_shard')
@dataclass(frozen=True, slots=True)
class Shard:
    """A combination of the shards whose bits are set in `mask`."""

    round_number: int
    mask: int
    payload: bytes


@message('bench_enough')
@dataclass(frozen=True, slots=True)
class Enough:
    """The sender has decoded the round (like IDONTWANT)."""

    round_number: int


class Decoder:
    """Matrix of the received combinations, in echelon form."""

    def __init__(self) -> None:
        self.rows: dict[int, tuple[int, int]] = {}

    def add(self, mask: int, payload: int) -> bool:
        """Adds a combination; returns whether it increased the rank."""
        while mask:
            pivot = mask.bit_length()
            if pivot not in self.rows:
                self.rows[pivot] = (mask, payload)
                return True
            row_mask, row_payload = self.rows[pivot]
            mask ^= row_mask
            payload ^= row_payload
        return False

    def combine(self, generator: random.Random) -> tuple[int, int]:
        """Returns a random combination that is not empty."""
        rows = list(self.rows.values())
        mask, payload = generator.choice(rows)
        for row_mask, row_payload in rows:
            if row_mask != mask and generator.getrandbits(1):
                payload ^= row_payload
                mask ^= row_mask
        # The rows are independent, so only an unfavourable order gives 0.
        return (mask, payload) if mask else rows[0]


class CodedPeer:
    """A daemon of the gossip, which handles one round at a time."""

    def __init__(self, network: PeerNetwork, seed: int) -> None:
        self.network = network
        self.decoded = asyncio.Event()
        self._random = random.Random(seed)
        self._round_number = 0
        self._decoder = Decoder()
        self._shard_bytes = 0
        self._enough: set[DaemonId] = set()
        self._mesh: list[DaemonId] = []
        network.register(Shard, self._receive_shard)
        network.register(Enough, self._receive_enough)

    def start_round(self, round_number: int) -> None:
        """Discards the previous round and selects a new mesh."""
        self._round_number = round_number
        self._decoder = Decoder()
        self._enough = set()
        peers = sorted(self.network.peers)
        # Each mesh includes the next peer in the ring, so that every peer is
        # in a mesh.
        later = [peer for peer in peers if peer > self.network.daemon_id]
        count = min(MESH_DEGREE, len(peers))
        mesh = {(later or peers)[0], *self._random.sample(peers, count - 1)}
        self._mesh = sorted(mesh)
        self.decoded = asyncio.Event()

    async def publish(self, content: bytes) -> None:
        """Splits the content and sends combinations of shards to the mesh."""
        self._shard_bytes = -(-len(content) // SHARDS_COUNT)
        for index in range(SHARDS_COUNT):
            start = index * self._shard_bytes
            cut = content[start : start + self._shard_bytes]
            padded = cut.ljust(self._shard_bytes, b'\0')
            self._decoder.add(1 << index, int.from_bytes(padded, 'big'))
        self.decoded.set()
        # From this rank on, peers create further combinations themselves.
        for _ in range(FORWARD_RANK):
            await self._forward(self._mesh)
        await self._repair()

    async def _repair(self) -> None:
        # Random combinations may be dependent, so sending continues until all
        # of the mesh can decode.
        round_number = self._round_number
        while not self._enough.issuperset(self._mesh):
            await asyncio.sleep(REPAIR_S)
            if round_number != self._round_number:
                return
            await self._forward(self._mesh)

    async def _forward(self, peers: list[DaemonId]) -> None:
        round_number = self._round_number
        for peer in peers:
            if round_number != self._round_number:
                return
            if peer not in self._enough:
                mask, payload = self._decoder.combine(self._random)
                packed = payload.to_bytes(self._shard_bytes, 'big')
                shard = Shard(self._round_number, mask, packed)
                await self.network.send(peer, shard)

    async def _receive_shard(self, sender: DaemonId, shard: Shard) -> None:
        if shard.round_number != self._round_number or self.decoded.is_set():
            return
        self._shard_bytes = len(shard.payload)
        payload = int.from_bytes(shard.payload, 'big')
        if not self._decoder.add(shard.mask, payload):
            return
        rank = len(self._decoder.rows)
        if rank == SHARDS_COUNT:
            self.decoded.set()
            for peer in self.network.peers:
                await self.network.send(peer, Enough(self._round_number))
            await self._repair()
        elif rank >= FORWARD_RANK:
            await self._forward([peer for peer in self._mesh if peer != sender])

    async def _receive_enough(self, sender: DaemonId, enough: Enough) -> None:
        if enough.round_number == self._round_number:
            self._enough.add(sender)


__all__ = ('CodedPeer',)
