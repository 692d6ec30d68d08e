"""Settings of queueing and placement."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepSettings:
    """Limits of queueing and placement.

    - `min_ticket_ms`: minimum remaining validity of a ticket when a start is
      planned; the commit and the start call take up to 50 ms.
    - `max_asked_count`: maximum number of targets in one request to the
      advice service; its interface allows 100.
    - `reserved_share`: maximum share of the targets reserved for waiting
      gangs; the others remain available to smaller tasks.
    - `reservation_ms`: how long a gang keeps its reserved targets before
      others are considered; a reserved target is empty only after its tasks
      have ended, so that frequent changes would leave many partly empty.
    - `distrust_after_count`, `distrust_ms`: consecutive failures after which
      a target enters a cooldown, and its duration.
    - `max_placed_count`: maximum number of starts planned in one tick, which
      limits the duration of a tick.
    - `explain_after_ms`, `max_explained_count`: how long a due step waits until
      the log explains why, and the number of oldest steps that are explained
      each time.
    - `explain_again_ms`, `max_repeated_count`: how often other steps are
      explained, and how many of them at a time.
    - `advice_retry_ms`, `max_advice_retry_ms`: delay before a failed advice
      request is repeated, and up to which it doubles with each failure: a step
      whose requests fail again and again must not keep hosts from others.
    - `max_open_count`: maximum number of open advice requests of a gang.
    - `gang_room_factor`: advice for a gang is requested on targets with this
      many times the room that it needs, as other steps may use it meanwhile.
    - `spare_duration_share`: targets that a gang has not reserved may prolong
      the renewal of its tickets by this share of the service's decision time.
    - `long_question_ms`, `long_question_share`: advice requests that take
      longer than `long_question_ms` use at most this share of the hosts. The
      other hosts serve urgent steps, whose objective leaves 250 ms; these need
      few of them, as their requests are short.
    - `crash_window_ms`: an attempt that has run for this time is no suspect
      when its target crashes.
    - `max_crashes_count`: crashes during which a task is known to have run,
      after which it is given up if no other task may have caused the last.
    - `max_required_crashes_count`: the same while targets often crash for other
      reasons. A task may start twice more after three crashes, and one crash
      may not be known to be its own.
    - `crash_chance`, `crash_rate_ms`: how likely the crashes that give a task
      up may be by chance, and over which time crashes that no start explains
      are counted.
    - `trial_group_count`: maximum number of suspects that start together on a
      target. Tasks under which several targets have crashed start alone.
    - `small_share`: a step is small if its room times run time is below this
      share of the mean of the waiting steps of its priority.
    - `useful_factor`: an answer is of use up to this multiple of the time that
      the objective allows.
    - `max_wait_ms`, `first_turn_ms`: wait after which the step that has waited
      longest comes before all others, and how long before it is the next
      one's turn.
    - `max_claim_ms`: a waiting step keeps room from others that it doesn't use
      until this long after it should have started. Ready steps may wait 5 s
      for room that nobody uses.
    - `trial_share`: maximum share of the targets used for trials of suspects.
    - `speed_band_ratio`: run times on a target, relative to the median target,
      within which targets count as equally fast.
    - `tight_run_share`, `tight_slack_ms`: a step prefers fast targets if its
      objective leaves less to spare than this share of its expected run time
      and this time, in which callers notice its end.
    - `preferred_room_share`: advice is requested on a preferred target as if it
      had this share of its capacity more to spare.
    """

    min_ticket_ms: int = 150
    max_asked_count: int = 100
    reserved_share: float = 0.35
    reservation_ms: int = 200
    distrust_after_count: int = 3
    distrust_ms: int = 3000
    max_placed_count: int = 200
    explain_after_ms: int = 3000
    max_explained_count: int = 3
    explain_again_ms: int = 10_000
    max_repeated_count: int = 10
    advice_retry_ms: int = 200
    max_advice_retry_ms: int = 1600
    max_open_count: int = 4
    gang_room_factor: float = 2
    spare_duration_share: float = 0.25
    long_question_ms: int = 250
    long_question_share: float = 0.8
    crash_window_ms: int = 300
    max_crashes_count: int = 2
    max_required_crashes_count: int = 4
    crash_chance: float = 0.00001
    crash_rate_ms: int = 10_000
    trial_group_count: int = 4
    trial_share: float = 0.25
    small_share: float = 0.25
    useful_factor: float = 3
    max_wait_ms: int = 60_000
    first_turn_ms: int = 10_000
    max_claim_ms: int = 5000
    speed_band_ratio: float = 1.5
    tight_run_share: float = 1
    tight_slack_ms: int = 500
    preferred_room_share: float = 0.5


__all__ = ('StepSettings',)
