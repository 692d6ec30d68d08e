"""Levels of all log events.

ERROR is a fault of the software or of stored data. WARNING is what an
operator must see to understand an incident: deaths, takeovers, losses and
what the platform refuses. INFO is the normal life of a daemon, and DEBUG
repeats what another event already tells or what is retried at once.
"""

from typing import Final

_ERROR: Final = (
    'bad_daemon_row',
    'bad_owner_row',
    'bad_homes',
    'bad_slot_row',
    'handler_failed',
    'loop_failed',
    'placement_record_refused',
    'task_failed',
    'tick_failed',
)
_WARNING: Final = (
    'attempts_ended',
    'bad_frame',
    'bad_message',
    'config_refused',
    'config_unread',
    'config_update_refused',
    'counts_unreadable',
    'daemon_dead',
    'drain_not_journaled',
    'empty_host_list',
    'executor_health',
    'gang_outcome_unknown',
    'hand_off_not_journaled',
    'key_report_dropped',
    'key_report_given_up',
    'ownership_step_failed',
    'partition_dropped',
    'partition_lost',
    'partition_taken_over',
    'peer_heard_again',
    'peer_rejected',
    'peer_suspected',
    'release_unfinished',
    'renewal_failed',
    'snapshot_object_left',
    'summary_too_large',
    'worker_in_use_elsewhere',
    'worker_quarantine_ended',
    'worker_quarantined',
)
_INFO: Final = (
    'config_in_force',
    'daemon_ready',
    'daemon_row_expired',
    'daemon_started',
    'drain_ended',
    'drain_started',
    'gang_commit_not_confirmed',
    'gang_round_released',
    'hand_off_not_confirmed',
    'journal_closed',
    'partition_acquired',
    'homes_not_written',
    'worker_gone',
)
_DEBUG: Final = (
    'config_head_unread',
    'counts_not_saved',
    'former_owner_silent',
    'host_list_unread',
    'late_reply_dropped',
    'peer_stream_broken',
    'shares_not_synced',
)

EVENT_LEVELS: Final = {
    **dict.fromkeys(_ERROR, 'ERROR'),
    **dict.fromkeys(_WARNING, 'WARNING'),
    **dict.fromkeys(_INFO, 'INFO'),
    **dict.fromkeys(_DEBUG, 'DEBUG'),
}

__all__ = ('EVENT_LEVELS',)
