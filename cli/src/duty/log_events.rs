//! Writes the log events of the other duties to the log and updates the metrics from them.

use std::sync::Arc;

use crossbeam_channel::Receiver;
use hickorylink_lib::instance::port::{LogEvent, VoterCounts};
use hickorylink_runtime::log_events::log_step_down;
use slog::{Logger, debug, error, info, warn};

use crate::metrics::Metrics;

/// Runs until the ring is closed.
pub fn log_events(ring: &Receiver<LogEvent>, metrics: &Arc<Metrics>, log: &Logger) {
    while let Ok(event) = ring.recv() {
        metrics.record_event(&event);
        write(log, &event);
    }
}

fn write(log: &Logger, event: &LogEvent) {
    match event {
        LogEvent::Role { role, term, leader } => {
            let leader = leader.map(|leader| leader.0);
            info!(log, "consensus role changed"; "role" => role, "term" => term.0, "leader" => leader);
        }
        LogEvent::SteppedDown(step_down) => log_step_down(log, step_down),
        LogEvent::Bootstrapped => {
            info!(log, "no consensus group was found; this instance starts a new one")
        }
        LogEvent::Policy { plans, usage } => {
            info!(log, "lists in force"; "plans" => plans.0, "usage" => usage.0);
        }
        LogEvent::Epoch { centre, epoch, holder } => {
            let holder = holder.map(|holder| holder.0);
            info!(log, "epoch of a data centre changed";
                "centre" => centre.as_str(), "epoch" => epoch.0, "holder" => holder);
        }
        LogEvent::Task { task, event } => debug!(log, "task"; "task" => task.0, "event" => event),
        LogEvent::Restored { index } => {
            info!(log, "state restored from a snapshot"; "index" => index.0)
        }
        LogEvent::Unreadable { index, reason } => {
            error!(log, "an entry of the log can't be read"; "index" => index.0, "reason" => reason);
        }
        LogEvent::Unhandled { reason } => {
            error!(log, "a state chart has no transition for an event"; "reason" => reason);
        }
        LogEvent::Voters(counts) => write_voters(log, counts),
        LogEvent::Members { change } => {
            info!(log, "membership change requested"; "change" => change)
        }
    }
}

fn write_voters(log: &Logger, counts: &VoterCounts) {
    let VoterCounts { voters, live, wanted, standbys, overdue } = *counts;
    if overdue {
        warn!(log, "voters are missing although standbys are there";
            "voters" => voters, "live" => live, "wanted" => wanted, "standbys" => standbys);
    } else {
        info!(log, "the voters changed";
            "voters" => voters, "live" => live, "wanted" => wanted, "standbys" => standbys);
    }
}
