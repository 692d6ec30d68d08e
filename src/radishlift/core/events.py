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
    'bad_rack_row',
    'bad_slot_row',
    'handler_failed',
    'loop_failed',
    'partition_declined',
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
    'host_list_outdated',
    'key_report_dropped',
    'key_report_given_up',
    'ownership_step_failed',
    'partition_dropped',
    'partition_lost',
    'partition_taken_over',
    'peer_heard_again',
    'peer_rejected',
    'peer_suspected',
    'rack_move_pending',
    'peer_tls_failed',
    'release_unfinished',
    'tls_files_unreadable',
    'unknown_message',
    'renewal_failed',
    'snapshot_object_left',
    'summary_too_large',
    'worker_in_use_elsewhere',
    'worker_quarantine_ended',
    'worker_quarantined',
)
_INFO: Final = (
    'cell_level_raised',
    'tls_files_reloaded',
    'config_in_force',
    'daemon_ready',
    'daemon_row_expired',
    'daemon_started',
    'drain_ended',
    'drain_started',
    'gang_commit_not_confirmed',
    'gang_round_released',
    'hand_off_not_confirmed',
    'host_list_current',
    'journal_closed',
    'partition_acquired',
    'homes_not_written',
    'rack_drain_ended',
    'rack_drain_stops',
    'rack_draining',
    'rack_passed_on',
    'rack_released',
    'rack_rows_not_written',
    'rack_taken',
    'start_withdrawn',
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

EVENT_RANKS: Final = {'DEBUG': 0, 'INFO': 1, 'WARNING': 2, 'ERROR': 3}

__all__ = ('EVENT_LEVELS', 'EVENT_RANKS')
