"""Model of holders and a home that exchange shares over a faulty network.

Holders start and end tasks of one processor; their use is counted from these
starts alone. Messages are lost, repeated, delayed and reordered, and any owner
may be replaced by a new owner that knows only the journal.
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
    """The owner of one partition; a new owner reads `used` in the journal."""

    name: PartitionId
    holder_type: type[ShareHolder] = ShareHolder
    used: int = 0
    queued: int = 0
    epoch: int = 0
    serial: int = 0

    def __post_init__(self):
        self.replace(None)

    def replace(self, document):
        """Replaces the owner by a new one."""
        self.epoch += 1
        self.serial = 0
        self.holder = self.holder_type(SETTINGS, Random(1), lambda team: None)
        self.document = None
        if document is not None:
            self.apply_document(document)

    def apply_document(self, document):
        self.document = document
        self.holder.apply_teams(document.teams, self.read_use)

    def read_use(self, _team):
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

    def make_message(self, now_ms):
        """Creates a message in the way that `ShareSync` does."""
        demands = {}
        if self.queued:
            demands[TEAM] = TeamDemand((self.queued * UNIT[0], 0, 0), UNIT)
        asks = self.holder.plan_asks(now_ms, self.read_use, demands)
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
    """Holders, the home's journal, and messages in transit."""

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
        """Replaces the owner of the home by one that replays the journal."""
        self.ledger = QuotaLedger()
        for change in self.journal:
            self.ledger.apply(change)
        reloaded = QuotaLedger()
        reloaded.load(self.ledger.dump())
        self.ledger = reloaded
        self.home = self.home_type(self.ledger, Contention(100))

    def change_quota(self, quota):
        """Applies a configuration at the home and all holders."""
        self.quota = quota
        self.version += 1
        self.document = ConfigDocument(
            ConfigVersion(self.version),
            teams={TEAM: Team('rugs', cpu_milli=quota * UNIT[0])},
        )
        self.journal += self.home.apply_document(self.document)
        for model in self.holders:
            model.apply_document(self.document)

    def used(self) -> int:
        return sum(model.used for model in self.holders)

    def send_request(self, model):
        message = model.make_message(self.now_ms)
        if message is not None:
            self.requests.append((model, model.epoch, message))

    def serve(self, index):
        """Lets the home handle one request; its hints arrive at once."""
        model, epoch, message = self.requests.pop(index % len(self.requests))
        names = [each.name for each in self.holders]
        answer = self.home.answer(message, self.document, names, self.now_ms)
        self.journal += answer.records
        reply = SharesSynced(message.serial, tuple(answer.shares))
        self.replies.append((model, epoch, message, reply))
        for hint in answer.hints:
            hinted = next(
                each for each in self.holders if each.name == hint.holder
            )
            hinted.holder.apply_hint(hint, hinted.read_use, self.now_ms)

    def deliver(self, index):
        """Delivers one reply if its requester is still the owner."""
        model, epoch, message, reply = self.replies.pop(
            index % len(self.replies)
        )
        if epoch == model.epoch:
            model.holder.apply_answer(message.asks, reply.shares, self.now_ms)

    def time_out(self, index):
        """Lets a request time out at its holder but stay in transit."""
        model, epoch, message = self.requests[index % len(self.requests)]
        if epoch == model.epoch:
            model.holder.apply_failure(message.asks, self.now_ms)

    def lose(self, index):
        """Loses a request; its sender fails it in `settle`."""
        self.lost.append(self.requests.pop(index % len(self.requests)))

    def settle(self, rounds=60):
        """Delivers all messages without faults and starts queued tasks."""
        for model, epoch, message in self.lost:
            if epoch == model.epoch:
                model.holder.apply_failure(message.asks, self.now_ms)
        self.lost.clear()
        for _ in range(rounds):
            self.now_ms += 100
            for model in self.holders:
                self.send_request(model)
            while self.requests:
                self.serve(0)
            while self.replies:
                self.deliver(0)
            for model in self.holders:
                while model.start():
                    assert self.used() <= self.quota


__all__ = ('HOME', 'TEAM', 'CellModel', 'HolderModel')
