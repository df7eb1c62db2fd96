//! Writes the log events of the roles to the log.

use std::{net::SocketAddr, time::Duration};

use hickorylink_lib::{
    consensus::port::StepDown,
    ids::InstanceId,
    jobs::{controller, gateway, obstacle::ObstacleGroup, voters::AbsentVoter},
    resources::Resources,
};
use slog::{Logger, debug, error, info, warn};

/// Logs an event of a controller.
pub fn controller(log: &Logger, event: &controller::LogEvent) {
    use controller::LogEvent;
    match event {
        LogEvent::Role { role, term, leader } => {
            info!(log, "the role changed"; "role" => role.name(), "term" => term.0,
                "leader" => leader.map(|leader| leader.0));
        }
        LogEvent::SteppedDown(step_down) => log_step_down(log, step_down),
        LogEvent::Leading { epoch, jobs, runs } => {
            info!(log, "this controller leads"; "epoch" => epoch.0, "jobs" => jobs, "runs" => runs);
        }
        LogEvent::EstimatesRestored { pairs, images } => {
            info!(log, "interference estimates are restored"; "pairs" => pairs,
                "images" => images);
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
        LogEvent::NearWait {
            step,
            tasks,
            rack,
            expected_ms,
            until_ms,
            right_percent,
            alternative,
        } => {
            info!(log, "tasks wait for a better placement"; "step" => step, "tasks" => tasks,
                "rack" => rack, "expected_ms" => expected_ms, "until_ms" => until_ms,
                "right_percent" => right_percent, "alternative" => alternative);
        }
        LogEvent::NearWaitEnded { step, rack, near, far, reason, waited_ms } => {
            info!(log, "a wait for a better placement has ended"; "step" => step, "rack" => rack,
                "near" => near, "far" => far, "reason" => reason, "waited_ms" => waited_ms);
        }
        LogEvent::Stranded {
            step,
            tasks,
            suspects,
            waited_ms,
            all_steps,
            all_tasks,
            smallest,
            needs,
            workers,
        } => {
            info!(log, "long-running tasks wait"; "step" => step, "tasks" => tasks,
                "suspects" => suspects, "waited_ms" => waited_ms, "all_steps" => all_steps,
                "all_tasks" => all_tasks, "smallest" => smallest, "needs" => amounts(needs),
                "workers" => counts(workers), "rooms" => rooms(workers));
        }
        LogEvent::Vacant {
            worker,
            listed,
            free,
            step,
            needs,
            obstacle,
            avoided,
            unlisted,
            oldest,
        } => {
            info!(log, "a worker has room for a long-running task that waits"; "worker" => worker,
                "listed" => amounts(listed), "free" => amounts(free), "step" => step,
                "needs" => amounts(needs), "obstacle" => obstacle,
                "avoided_ms" => avoided.map(millis), "unlisted" => unlisted,
                "oldest_ms" => millis(*oldest));
        }
        LogEvent::Unlisted { starts, workers, task, worker, age, sent, held } => {
            info!(log, "starts aren't listed by their workers"; "starts" => starts,
                "workers" => workers, "task" => task, "worker" => worker, "age_ms" => millis(*age),
                "sent" => sent, "held" => held);
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
        LogEvent::Leave { worker, silent, notice, runs, last } => {
            let task = last.as_ref().map(|last| &*last.task);
            info!(log, "a worker leaves"; "worker" => worker, "silent_ms" => millis(*silent),
                "notice_ms" => millis(*notice), "runs" => runs, "task" => task,
                "run" => last.as_ref().map(|last| last.run),
                "percent" => last.as_ref().map(|last| last.percent),
                "age_ms" => last.as_ref().map(|last| millis(last.age)),
                "estimate_ms" => last.as_ref().map(|last| millis(last.estimate)),
                "stopping" => last.as_ref().map(|last| last.stopping));
        }
        LogEvent::Withheld { worker, ends, task, acknowledged, returned } => {
            info!(log, "ends of a worker are withheld"; "worker" => worker, "ends" => ends,
                "task" => task, "acknowledged" => acknowledged, "returned" => returned);
        }
        LogEvent::Ignored { name, reason } => {
            info!(log, "a heartbeat names no worker to use"; "name" => name, "reason" => reason);
        }
        LogEvent::Resized { name, before, after, reserved, runs } => {
            info!(log, "a worker's capacity changed"; "name" => name, "before" => amounts(before),
                "after" => amounts(after), "reserved" => amounts(reserved), "runs" => runs);
        }
        LogEvent::Crash { worker, suspects } => {
            warn!(log, "a worker crashed"; "worker" => worker, "tasks" => suspects.len(),
                "suspects" => counted(suspects));
        }
        LogEvent::GivenUp { task, crashes } => {
            warn!(log, "a task is given up"; "task" => task, "crashes" => crashes);
        }
        LogEvent::Evacuation { centre, state, left } => {
            info!(log, "evacuation of a data centre"; "centre" => centre.as_str(),
                "state" => state.name(), "workers" => left.workers, "runs" => left.runs,
                "stopping" => left.stopping);
        }
        LogEvent::Members { change } => info!(log, "members change"; "change" => change),
        LogEvent::MembersCommitted { voters, learners } => {
            info!(log, "members changed"; "voters" => ids(voters), "learners" => ids(learners));
        }
        LogEvent::TooFewVoters { counts, absent } => {
            warn!(log, "too few controllers vote"; "voters" => counts.voters,
                "live" => counts.live_voters, "wanted" => counts.wanted,
                "standbys" => counts.standbys, "absent" => absent_voters(absent));
        }
        LogEvent::EnoughVoters { counts, after } => {
            info!(log, "enough controllers vote again"; "voters" => counts.voters,
                "live" => counts.live_voters, "wanted" => counts.wanted,
                "standbys" => counts.standbys, "after_ms" => millis(*after));
        }
        LogEvent::ControllerHeard { peer, from } => {
            info!(log, "a controller was heard"; "peer" => %peer, "from" => %from);
        }
        LogEvent::NoLeader { waited, asked, heard } => {
            warn!(log, "no leader is known"; "waited_ms" => millis(*waited),
                "asked" => addresses(asked), "heard" => addresses(heard));
        }
        LogEvent::Unreadable { index, reason } => {
            error!(log, "an entry can't be read"; "index" => index.0, "reason" => reason);
        }
        LogEvent::Unhandled { reason } => {
            warn!(log, "the consensus state chart has no transition for an event"; "event" => reason);
        }
    }
}

/// The amounts of all resources.
fn amounts(resources: &Resources) -> String {
    let Resources { millicores, memory_mib, accelerators } = resources;
    format!("{millicores} millicores, {memory_mib} MiB, {accelerators} accelerators")
}

/// The number of workers with each obstacle (`OBSTACLE:COUNT`).
fn counts(groups: &[(&str, ObstacleGroup)]) -> String {
    let texts: Vec<_> =
        groups.iter().map(|(what, group)| format!("{what}:{}", group.count)).collect();
    texts.join(" ")
}

/// The largest room on a worker with each obstacle (`OBSTACLE:MILLICORES/MIB@WORKER`).
fn rooms(groups: &[(&str, ObstacleGroup)]) -> String {
    let text = |(what, group): &(&str, ObstacleGroup)| {
        let ObstacleGroup { room, worker, .. } = group;
        format!("{what}:{}/{}@{worker}", room.millicores, room.memory_mib)
    };
    let texts: Vec<_> = groups.iter().map(text).collect();
    texts.join(" ")
}

/// The maximum number of suspects that are written for a crash.
const MAX_SUSPECTS: usize = 16;

/// The tasks that are suspected the most, each with the number of crashes that it may have caused.
fn counted(suspects: &[(String, u32)]) -> String {
    let mut suspects: Vec<_> = suspects.iter().collect();
    suspects.sort_by_key(|(_, crashes)| std::cmp::Reverse(*crashes));
    let suspects = suspects.iter().take(MAX_SUSPECTS);
    let texts: Vec<_> = suspects.map(|(task, crashes)| format!("{task}:{crashes}")).collect();
    texts.join(" ")
}

/// Logs why a leader gave up leadership.
pub fn log_step_down(log: &Logger, step_down: &StepDown) {
    let StepDown { cause, term, quorum_silence, disk_wait, delay } = step_down;
    warn!(log, "leadership is given up"; "why" => cause.name(), "term" => term.0,
        "quorum_silent_ms" => millis(*quorum_silence), "disk_wait_ms" => millis(*disk_wait),
        "late_ms" => millis(*delay));
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Identities separated by spaces.
fn ids(instances: &[InstanceId]) -> String {
    let ids: Vec<_> = instances.iter().map(|id| id.0.to_string()).collect();
    ids.join(" ")
}

/// Addresses separated by spaces.
fn addresses(addresses: &[SocketAddr]) -> String {
    let texts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(" ")
}

/// Voters, each with its address if it is known (`ID@ADDRESS`).
fn absent_voters(voters: &[AbsentVoter]) -> String {
    let text = |AbsentVoter { id, peer }: &AbsentVoter| match peer {
        Some(peer) => format!("{}@{peer}", id.0),
        None => id.0.to_string(),
    };
    let texts: Vec<_> = voters.iter().map(text).collect();
    texts.join(" ")
}

/// Logs an event of a gateway.
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
