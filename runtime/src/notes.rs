//! Lines for the log from what the roles note.

use hickorylink_lib::jobs::{controller, gateway};
use slog::{Logger, debug, error, info, warn};

/// Writes a controller's line.
pub fn controller(log: &Logger, note: &controller::Note) {
    use controller::Note;
    match note {
        Note::Role { role, term, leader } => {
            info!(log, "the role changed"; "role" => role.name(), "term" => term.0,
                "leader" => leader.map(|leader| leader.0));
        }
        Note::Leading { epoch, jobs, runs } => {
            info!(log, "this controller leads"; "epoch" => epoch.0, "jobs" => jobs, "runs" => runs);
        }
        Note::Configured { version, queues } => {
            info!(log, "a configuration is in force"; "version" => version, "queues" => queues);
        }
        Note::Job { id, what, queue, age_ms } => {
            info!(log, "job"; "id" => id, "state" => what, "queue" => queue, "age_ms" => age_ms);
        }
        Note::Started { step, tasks, waiting, worker, age_ms } => {
            debug!(log, "tasks start"; "step" => step, "tasks" => tasks, "waiting" => waiting,
                "worker" => worker, "age_ms" => age_ms);
        }
        Note::Committed { .. } => {}
        Note::Ended { task, run, ending, worker } => {
            info!(log, "a run ended"; "task" => task, "run" => run, "ending" => ending,
                "worker" => worker);
        }
        Note::Worker { name, what, silent_ms, runs } => {
            info!(log, "worker"; "name" => name, "state" => what, "silent_ms" => silent_ms,
                "runs" => runs);
        }
        Note::Members { change } => info!(log, "members change"; "change" => change),
        Note::Unreadable { index, reason } => {
            error!(log, "an entry can't be read"; "index" => index.0, "reason" => reason);
        }
        Note::Unhandled { reason } => {
            warn!(log, "the agreement has no rule for an event"; "event" => reason);
        }
    }
}

/// Writes a gateway's line.
pub fn gateway(log: &Logger, note: &gateway::Note) {
    use gateway::Note;
    match note {
        Note::Found(leader) => info!(log, "the leader is found"; "leader" => %leader),
        Note::Lost { leader, why, calls } => {
            warn!(log, "the leader is lost"; "leader" => %leader, "why" => why, "calls" => calls);
        }
        Note::GaveUp { path, told, waited_ms } => {
            info!(log, "a call was given up"; "path" => path, "told" => told,
                "waited_ms" => waited_ms);
        }
    }
}
