//! Lines for the log from what the roles note.

use hickorylink_lib::jobs::{controller, gateway};
use slog::{Logger, debug, error, info, warn};

/// Writes a controller's line.
pub fn controller(log: &Logger, event: &controller::LogEvent) {
    use controller::LogEvent;
    match event {
        LogEvent::Role { role, term, leader } => {
            info!(log, "the role changed"; "role" => role.name(), "term" => term.0,
                "leader" => leader.map(|leader| leader.0));
        }
        LogEvent::Leading { epoch, jobs, runs } => {
            info!(log, "this controller leads"; "epoch" => epoch.0, "jobs" => jobs, "runs" => runs);
        }
        LogEvent::Configured { version, queues } => {
            info!(log, "a configuration is in force"; "version" => version, "queues" => queues);
        }
        LogEvent::Job { id, state, queue, age_ms } => {
            info!(log, "job"; "id" => id, "state" => state, "queue" => queue, "age_ms" => age_ms);
        }
        LogEvent::Started { step, tasks, waiting, worker, age_ms } => {
            debug!(log, "tasks start"; "step" => step, "tasks" => tasks, "waiting" => waiting,
                "worker" => worker, "age_ms" => age_ms);
        }
        LogEvent::Committed { .. } => {}
        LogEvent::Ended { task, run, ending, worker } => {
            info!(log, "a run ended"; "task" => task, "run" => run, "ending" => ending,
                "worker" => worker);
        }
        LogEvent::Worker { name, state, silent_ms, runs } => {
            info!(log, "worker"; "name" => name, "state" => state, "silent_ms" => silent_ms,
                "runs" => runs);
        }
        LogEvent::Members { change } => info!(log, "members change"; "change" => change),
        LogEvent::Unreadable { index, reason } => {
            error!(log, "an entry can't be read"; "index" => index.0, "reason" => reason);
        }
        LogEvent::Unhandled { reason } => {
            warn!(log, "the agreement has no rule for an event"; "event" => reason);
        }
    }
}

/// Writes a gateway's line.
pub fn gateway(log: &Logger, event: &gateway::LogEvent) {
    use gateway::LogEvent;
    match event {
        LogEvent::LeaderFound(leader) => info!(log, "the leader is found"; "leader" => %leader),
        LogEvent::LeaderLost { leader, reason, calls } => {
            warn!(log, "the leader is lost"; "leader" => %leader, "why" => reason, "calls" => calls);
        }
        LogEvent::CallTimedOut { path, told, waited_ms } => {
            info!(log, "a call was given up"; "path" => path, "told" => told,
                "waited_ms" => waited_ms);
        }
    }
}
