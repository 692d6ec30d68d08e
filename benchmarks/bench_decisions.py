"""Compares the planner's ranking of steps with simpler rankings.

The kinds of jobs follow the two departments of the brief. During a burst the
load exceeds the capacity of the targets.
"""

from typing import Final

from benchmarks.decision_model import (
    DecisionModel,
    Deployment,
    JobKind,
    Tally,
    worth_share,
)
from benchmarks.harness import BENCHMARKS, Figure
from radishlift.core.registry import Registry
from radishlift.steps.ranking import (
    StepRanking,
    latest_start_ms,
    rank_step,
)
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.spec import AdviceTerms

SEEDS: Final = (1, 2, 3)
LOADS: Final = (0.6, 1.0, 1.3)
# Order of the planner, which also depends on the room of the targets.
DEFAULT_ORDER: Final = 'least_delay_cost'
RANKINGS: Final[Registry[StepRanking]] = Registry('step ranking')


@RANKINGS.register('first_come')
def first_come(job: JobRun, step: StepRun, wall_ms: int) -> tuple[int, ...]:
    """Ranks by arrival time."""
    return (job.accepted_at_ms,)


@RANKINGS.register('priority')
def by_priority(job: JobRun, step: StepRun, wall_ms: int) -> tuple[int, ...]:
    """Ranks by priority and latest start, whether or not a step is late."""
    return job.terms.priority, latest_start_ms(job, step)


@RANKINGS.register('in_time_first')
def in_time_first(job: JobRun, step: StepRun, wall_ms: int) -> tuple[int, ...]:
    """Ranks by lateness, priority and latest start."""
    return rank_step(job, step, wall_ms)


def rug_depot(load: float = 1, burst_factor: float = 1) -> Deployment:
    """Returns the rug depot at a multiple of its usual load."""
    return Deployment(
        targets_count=24,
        target_millicores=32_000,
        hosts_count=7,
        burst_factor=burst_factor,
        kinds=(
            JobKind(
                'route_plan',
                0.9 * load,
                9.31,
                1.2,
                8,
                48,
                9000,
                4000,
                1.0,
                1,
                2.2,
                1000,
                AdviceTerms(360, 5.2, 2000),
                0.3,
                0.2,
            ),
            JobKind(
                'wash_batch',
                3.4 * load,
                1.54,
                1.5,
                10,
                60,
                2000,
                2200,
                0.0,
                2,
                4.0,
                3000,
                AdviceTerms(46, 0.66, 2000),
                0.45,
                0.5,
            ),
            JobKind(
                'pickup_confirm',
                15.4 * load,
                0.477,
                1.0,
                2,
                12,
                2800,
                1000,
                0.3,
                0,
                1.5,
                250,
                AdviceTerms(10, 0.15, 2000),
                0.7,
                0.5,
            ),
        ),
    )


def large_depot(load: float = 1, burst_factor: float = 1) -> Deployment:
    """Returns a depot whose gangs need a tenth of the allowed targets.

    Its usual load uses nearly all processors.
    """
    return Deployment(
        targets_count=270,
        target_millicores=32_000,
        target_memory_mb=65_536,
        slow_factor=1.3,
        hosts_count=97,
        duration_ms=34_000,
        burst_factor=burst_factor,
        kinds=(
            JobKind(
                name='route_plan',
                jobs_per_s=3.67 * load,
                worth=6.85,
                steps_count=1.2,
                tasks_count=13,
                max_tasks_count=80,
                cpu_millicores=8300,
                run_ms=5500,
                gang_share=1.0,
                priority=1,
                stretch=2.2,
                objective_ms=1000,
                advice=AdviceTerms(637, 9.1, 2000),
                allowed_share=0.3,
                estimate_error_share=0.9,
                memory_mb=15_000,
                tasks_spread=0.6,
                amounts_spread=0.4,
                run_spread=0.5,
            ),
            JobKind(
                name='wash_batch',
                jobs_per_s=6.11 * load,
                worth=2.56,
                steps_count=1.5,
                tasks_count=16,
                max_tasks_count=96,
                cpu_millicores=5000,
                run_ms=2400,
                gang_share=0.0,
                priority=2,
                stretch=4.0,
                objective_ms=3000,
                advice=AdviceTerms(182, 2.6, 2000),
                allowed_share=0.45,
                estimate_error_share=0.5,
                memory_mb=8500,
                tasks_spread=0.6,
                amounts_spread=0.45,
                run_spread=0.5,
            ),
            JobKind(
                name='pickup_confirm',
                jobs_per_s=54.3 * load,
                worth=0.405,
                steps_count=1.0,
                tasks_count=2.6,
                max_tasks_count=19,
                cpu_millicores=7100,
                run_ms=700,
                gang_share=0.3,
                priority=0,
                stretch=1.5,
                objective_ms=300,
                advice=AdviceTerms(20.8, 0.299, 2000),
                allowed_share=0.7,
                estimate_error_share=0.5,
                memory_mb=12_500,
                tasks_spread=0.6,
                amounts_spread=0.45,
                run_spread=0.5,
            ),
        ),
    )


def crowded_desk(load: float = 1, burst_factor: float = 4) -> Deployment:
    """Returns a desk whose callers compete for room during a burst."""
    return Deployment(
        targets_count=44,
        target_millicores=64_000,
        target_memory_mb=262_144,
        hosts_count=33,
        duration_ms=16_000,
        burst_factor=burst_factor,
        burst_from_ms=3000,
        burst_to_ms=9000,
        kinds=(
            JobKind(
                name='returns',
                jobs_per_s=0.56 * load,
                worth=8.4,
                steps_count=1.2,
                tasks_count=14,
                max_tasks_count=100,
                cpu_millicores=16_000,
                run_ms=3500,
                gang_share=0.5,
                priority=1,
                stretch=2.2,
                objective_ms=1000,
                advice=AdviceTerms(707, 6.4, 2000),
                allowed_share=0.3,
                memory_mb=40_000,
                amounts_spread=0.4,
                run_spread=0.5,
            ),
            JobKind(
                name='extract',
                jobs_per_s=1.28 * load,
                worth=4,
                steps_count=1.5,
                tasks_count=18,
                max_tasks_count=120,
                cpu_millicores=6200,
                run_ms=3000,
                gang_share=0,
                priority=2,
                stretch=4.0,
                objective_ms=3000,
                advice=AdviceTerms(250, 2.3, 2000),
                allowed_share=0.45,
                memory_mb=15_000,
                amounts_spread=0.4,
                run_spread=0.5,
            ),
            JobKind(
                name='check',
                jobs_per_s=10.3 * load,
                worth=0.4,
                steps_count=1,
                tasks_count=2.2,
                max_tasks_count=18,
                cpu_millicores=9000,
                run_ms=700,
                gang_share=0.3,
                priority=0,
                stretch=1.5,
                objective_ms=306,
                advice=AdviceTerms(19, 0.17, 2000),
                allowed_share=0.7,
                memory_mb=15_000,
                amounts_spread=0.4,
                run_spread=0.5,
            ),
        ),
    )


@BENCHMARKS.register('decisions')
def run() -> list[Figure]:
    """Runs all rankings on the same loads."""
    figures = []
    for load in LOADS:
        for title, deployment in (
            ('decisions', rug_depot(load, burst_factor=1.8)),
            ('decisions.crowded', crowded_desk(load)),
        ):
            for name in (*RANKINGS.names(), DEFAULT_ORDER):
                figures.extend(_figures(deployment, name, f'{title}.{load}x'))
    return figures


def _figures(deployment: Deployment, name: str, prefix: str) -> list[Figure]:
    worth_shares = []
    used_ratios = []
    tallies: dict[str, Tally] = {}
    ranking = None if name == DEFAULT_ORDER else RANKINGS.get(name)
    for seed in SEEDS:
        model = DecisionModel(deployment, seed, ranking)
        tallies = model.run()
        worth_shares.append(worth_share(deployment, tallies))
        used_ratios.append(model.used_ratio)
    figures = [
        Figure(
            f'{prefix}.{name}.worth_ratio',
            sum(worth_shares) / len(worth_shares),
        ),
        Figure(
            f'{prefix}.{name}.used_ratio', sum(used_ratios) / len(used_ratios)
        ),
    ]
    for kind, tally in tallies.items():
        waits_ms = sorted(tally.waits_ms)
        median_ms = waits_ms[len(waits_ms) // 2] if waits_ms else 0
        figures.append(
            Figure(f'{prefix}.{name}.{kind}.credit_ratio', tally.credit_share),
        )
        figures.append(
            Figure(f'{prefix}.{name}.{kind}.wait_p50_ms', median_ms),
        )
    return figures


__all__ = ('RANKINGS', 'crowded_desk', 'rug_depot', 'run')
