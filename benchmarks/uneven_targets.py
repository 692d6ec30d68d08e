"""A load on targets of unlike speed, and what placement knows of the speeds.

A quarter of the targets takes less than half the time of the others. Callers
ask for the state of a job, so that they see its end some time later.
"""

from collections.abc import Iterable
from typing import Final

from benchmarks.decision_model import DecisionModel, Deployment, JobKind
from benchmarks.harness import Figure
from radishlift.core.registry import Registry
from radishlift.steps.ids import TargetId
from radishlift.steps.spec import AdviceTerms
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.step_run_times import TaskRunTime
from radishlift.steps.targets import TargetEntry

TIGHT_KIND: Final = 'unlock'
SPEEDS: Final[Registry[type[SpeedTable]]] = Registry('knowledge of speeds')
_FACTORS: Final = (0.55, 1.2, 1.2, 1.2)
_SEEDS: Final = (1, 2)
_LOADS: Final = (1.0, 1.8)


@SPEEDS.register('unknown')
class UnknownSpeeds(SpeedTable):
    """Learns nothing, so that placement is best fit."""

    def observe(
        self, entry: TargetEntry, run_time: TaskRunTime, now_ms: int
    ) -> None:
        """Ignores a run time."""


SPEEDS.register('learned')(SpeedTable)


@SPEEDS.register('known')
class KnownSpeeds(UnknownSpeeds):
    """An oracle that knows all speeds from the beginning."""

    def is_known(self, target_id: TargetId) -> bool:
        """Returns True: all speeds are known."""
        return True

    def refresh(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> dict[TargetId, float]:
        """Returns the true factors."""
        fleet = uneven_fleet()
        return {
            entry.target_id: fleet.speed_factor(int(entry.target_id[1:]))
            for entry in entries
        }


def uneven_fleet(load: float = 1, duration_ms: int = 12_000) -> Deployment:
    """Returns a fleet that runs gangs, batches and short urgent jobs."""
    return Deployment(
        targets_count=350,
        target_millicores=32_000,
        target_memory_mb=131_072,
        hosts_count=36,
        duration_ms=duration_ms,
        burst_factor=1.5,
        speed_factors=_FACTORS,
        tail_share=0.03,
        failure_share=0.03,
        seen_after_ms=300,
        settle_ms=40_000,
        kinds=(
            JobKind(
                name='rebalance',
                jobs_per_s=2.6 * load,
                worth=10.4,
                steps_count=1.2,
                tasks_count=20,
                max_tasks_count=120,
                cpu_millicores=9000,
                run_ms=3400,
                gang_share=1.0,
                priority=1,
                stretch=2.2,
                objective_ms=1000,
                advice=AdviceTerms(442, 6.37, 2000),
                allowed_share=0.3,
                estimate_error_share=0.2,
                memory_mb=26_000,
                tasks_spread=0.8,
                amounts_spread=0.4,
            ),
            JobKind(
                name='review',
                jobs_per_s=4.3 * load,
                worth=3.94,
                steps_count=1.5,
                tasks_count=25,
                max_tasks_count=150,
                cpu_millicores=3500,
                run_ms=2300,
                gang_share=0.0,
                priority=2,
                stretch=4.0,
                objective_ms=3000,
                advice=AdviceTerms(130, 1.82, 2000),
                allowed_share=0.45,
                estimate_error_share=0.5,
                memory_mb=13_000,
                tasks_spread=0.8,
                amounts_spread=0.45,
            ),
            JobKind(
                name=TIGHT_KIND,
                jobs_per_s=60 * load,
                worth=0.395,
                steps_count=1.0,
                tasks_count=3.2,
                max_tasks_count=19,
                cpu_millicores=5000,
                run_ms=540,
                gang_share=0.3,
                priority=0,
                stretch=1.5,
                objective_ms=250,
                advice=AdviceTerms(9.36, 0.13, 2000),
                allowed_share=0.7,
                estimate_error_share=0.9,
                memory_mb=18_000,
                tasks_spread=0.8,
                amounts_spread=0.45,
                run_spread=0.5,
            ),
        ),
    )


def in_time_shares(
    deployment: Deployment, knowledge: str, seed: int
) -> dict[str, float]:
    """Returns the share of jobs in time by kind."""
    speeds = SPEEDS.get(knowledge)()
    tallies = DecisionModel(deployment, seed, speeds=speeds).run()
    return {
        name: tally.in_time / max(1, tally.in_time + tally.late + tally.missed)
        for name, tally in tallies.items()
    }


def list_figures() -> list[Figure]:
    """Compares what placement knows of the speeds on the same loads."""
    figures = []
    for load in _LOADS:
        for knowledge in SPEEDS.names():
            shares = [
                in_time_shares(uneven_fleet(load), knowledge, seed)
                for seed in _SEEDS
            ]
            figures.extend(
                Figure(
                    f'decisions.uneven.{load}x.{knowledge}.{kind}.in_time_ratio',
                    sum(share[kind] for share in shares) / len(shares),
                )
                for kind in shares[0]
            )
    return figures


__all__ = (
    'SPEEDS',
    'TIGHT_KIND',
    'in_time_shares',
    'list_figures',
    'uneven_fleet',
)
