"""A model of holders and a home that exchange shares over a bad network.

Holders start and end tasks of one processor; what they use is counted from
these starts alone. Messages are lost, repeated, late and out of order, and
any owner may be replaced by a successor that knows only the journal.
"""

from dataclasses import dataclass, field
from random import Random

from radishlift.config.document import ConfigDocument, Team
from radishlift.core.ids import ConfigVersion, Epoch, PartitionId, TeamName
from radishlift.quotas.contention import Contention
from radishlift.quotas.holder import ShareHolder
from radishlift.quotas.holding import TeamDemand
from radishlift.quotas.home import TeamHome
from radishlift.quotas.ledger import QuotaLedger
from radishlift.quotas.messages import SharesSynced, SyncShares
from radishlift.quotas.settings import QuotaSettings

TEAM = TeamName('wash')
HOME = PartitionId('home')
UNIT = (1_000, 0, 0)
SETTINGS = QuotaSettings(retry_interval_ms=10, max_retry_interval_ms=50)


@dataclass
class HolderModel:
    """The owner of one partition; `used` survives it in the journal."""

    name: PartitionId
    holder_type: type[ShareHolder] = ShareHolder
    used: int = 0
    queued: int = 0
    epoch: int = 0
    serial: int = 0

    def __post_init__(self):
        self.replace(None)

    def replace(self, document):
        """Lets a successor take over."""
        self.epoch += 1
        self.serial = 0
        self.holder = self.holder_type(SETTINGS, Random(1), lambda team: None)
        self.document = None
        if document is not None:
            self.use(document)

    def use(self, document):
        self.document = document
        self.holder.use_teams(document.teams, self.use_of)

    def use_of(self, _team):
        return (self.used * UNIT[0], 0, 0)

    def start(self) -> bool:
        """Starts a task if the share allows it."""
        if self.document is None or not self.queued:
            return False
        quota = self.document.teams[TEAM].cpu_milli
        limit = self.holder.limits.get(TEAM, (0, 0, 0))[0]
        if quota and (self.used + 1) * UNIT[0] > limit:
            return False
        self.used += 1
        self.queued -= 1
        return True

    def command_all(self, now_ms):
        """Forms a message, as the exchange of a daemon does."""
        demands = {}
        if self.queued:
            demands[TEAM] = TeamDemand((self.queued * UNIT[0], 0, 0), UNIT)
        asks = self.holder.plan(now_ms, self.use_of, demands)
        if not asks:
            return None
        self.serial += 1
        return SyncShares(
            HOME,
            self.name,
            Epoch(self.epoch),
            self.serial,
            self.document.version,
            tuple(asks),
        )


@dataclass
class CellModel:
    """Holders, the home's journal, and messages under way."""

    holders: list[HolderModel]
    quota: int
    home_type: type[TeamHome] = TeamHome
    now_ms: int = 0
    version: int = 0
    requests: list = field(default_factory=list)
    replies: list = field(default_factory=list)
    lost: list = field(default_factory=list)

    def __post_init__(self):
        self.ledger = QuotaLedger()
        self.journal: list = []
        self.replace_home()
        self.change_quota(self.quota)

    def replace_home(self):
        """Lets a successor of the home replay the journal."""
        self.ledger = QuotaLedger()
        for change in self.journal:
            self.ledger.apply(change)
        reloaded = QuotaLedger()
        reloaded.load(self.ledger.dump())
        self.ledger = reloaded
        self.home = self.home_type(self.ledger, Contention(100))

    def change_quota(self, quota):
        """Puts a configuration in force everywhere."""
        self.quota = quota
        self.version += 1
        self.document = ConfigDocument(
            ConfigVersion(self.version),
            teams={TEAM: Team('rugs', cpu_milli=quota * UNIT[0])},
        )
        self.journal += self.home.use_document(self.document)
        for one in self.holders:
            one.use(self.document)

    def used(self) -> int:
        return sum(one.used for one in self.holders)

    def command_all(self, one):
        message = one.ask(self.now_ms)
        if message is not None:
            self.requests.append((one, one.epoch, message))

    def serve(self, place):
        """Lets the home take one message; hints arrive at once."""
        one, epoch, message = self.requests.pop(place % len(self.requests))
        names = [known.name for known in self.holders]
        answer = self.home.answer(message, self.document, names, self.now_ms)
        self.journal += answer.records
        reply = SharesSynced(message.serial, tuple(answer.shares))
        self.replies.append((one, epoch, message, reply))
        for hint in answer.hints:
            target = next(x for x in self.holders if x.name == hint.holder)
            target.holder.take_hint(hint, target.use_of, self.now_ms)

    def deliver(self, place):
        """Delivers one reply to the owner that asked, if it still is."""
        one, epoch, message, reply = self.replies.pop(place % len(self.replies))
        if epoch == one.epoch:
            one.holder.take_answer(message.asks, reply.shares, self.now_ms)

    def time_out(self, place):
        """Lets a holder give up waiting for a message that goes on."""
        one, epoch, message = self.requests[place % len(self.requests)]
        if epoch == one.epoch:
            one.holder.take_failure(message.asks, self.now_ms)

    def lose(self, place):
        """Loses a message; its sender notes that only when it settles."""
        self.lost.append(self.requests.pop(place % len(self.requests)))

    def settle(self, rounds=60):
        """Exchanges everything without faults."""
        for one, epoch, message in self.lost:
            if epoch == one.epoch:
                one.holder.take_failure(message.asks, self.now_ms)
        self.lost.clear()
        for _ in range(rounds):
            self.now_ms += 100
            for one in self.holders:
                self.command_all(one)
            while self.requests:
                self.serve(0)
            while self.replies:
                self.deliver(0)
            for one in self.holders:
                while one.start():
                    assert self.used() <= self.quota


__all__ = ('HOME', 'TEAM', 'CellModel', 'HolderModel')
