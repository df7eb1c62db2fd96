//! The vocabularies of the scheduler's two state charts, and the charts themselves.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    symbols,
};

symbols! {
    /// Where a try stands.
    pub enum Phase {
        /// Its record was asked for.
        Recording = "recording",
        /// It was recorded and its start was sent.
        Starting = "starting",
        /// Its worker reported it.
        Running = "running",
        /// It runs with a part of its processors.
        Throttled = "throttled",
        /// It was told to stop.
        Stopping = "stopping",
        /// It was recorded under an earlier epoch, and its worker hasn't been heard under this one.
        Inherited = "inherited",
        /// It has stopped; the record that its task waits again was asked for.
        Yielding = "yielding",
        /// It has stopped; the record of its task's end was asked for.
        Ending = "ending",
        /// It is forgotten.
        Closed = "closed",
    }

    /// What happens to a try.
    pub enum PhaseEvent {
        /// The ledger recorded it.
        Recorded = "recorded",
        /// The ledger refused it.
        Refused = "refused",
        /// Its worker reports that it runs.
        Seen = "seen",
        /// Its worker, in the same boot, doesn't list it.
        Missing = "missing",
        /// Its worker reports that it completed.
        Completed = "completed",
        /// Its worker reports that it failed.
        Failed = "failed",
        /// Its worker reports that it stopped.
        Stopped = "stopped",
        /// Its worker reports that it refused it.
        NotStarted = "not_started",
        /// It has surely stopped, and its worker can't say how.
        Gone = "gone",
        /// It must leave its worker.
        Evict = "evict",
        /// Its customer cancelled it.
        Cancel = "cancel",
        /// It must run at another speed.
        Throttle = "throttle",
        /// The data centre's epoch changed.
        Takeover = "takeover",
        /// A record got no answer in time.
        Retry = "retry",
        /// The ledger recorded that its task waits again.
        YieldRecorded = "yield_recorded",
        /// The ledger recorded its task's end.
        EndRecorded = "end_recorded",
    }

    /// What a transition of a try depends on.
    pub enum PhaseGuard {
        /// Its customer cancelled it.
        Cancelled = "cancelled",
        /// Its worker can't take it any longer.
        Unwanted = "unwanted",
        /// It may be run again from the start.
        Repeatable = "repeatable",
        /// It stopped with a checkpoint.
        Checkpointed = "checkpointed",
        /// It may not fail again.
        LastFailure = "last_failure",
        /// That it stopped follows only from its worker's lease.
        Surmised = "surmised",
        /// The last throttle is to be sent again.
        Repeating = "repeating",
        /// The throttle is taken away.
        FullSpeed = "full_speed",
    }

    /// What a transition of a try does.
    pub enum PhaseAction {
        /// Ask for the record of the try.
        RecordStart = "record_start",
        /// Ask for the last record once more.
        RecordAgain = "record_again",
        /// Send the start.
        SendStart = "send_start",
        /// Send the stop.
        SendStop = "send_stop",
        /// Remember the speed that is asked for.
        SetSpeed = "set_speed",
        /// Send the throttle.
        SendThrottle = "send_throttle",
        /// Remember why it must leave.
        NoteEviction = "note_eviction",
        /// Hold its room and its quota again.
        HoldRoom = "hold_room",
        /// Give back its room and its quota.
        Release = "release",
        /// Put its task back into the queue.
        Requeue = "requeue",
        /// Record that its task was cancelled before this try.
        Close = "close",
        /// Record that it never started.
        YieldNotStarted = "yield_not_started",
        /// Record that it failed.
        YieldFailed = "yield_failed",
        /// Record that it was evicted.
        YieldEvicted = "yield_evicted",
        /// Record that its lease ran out.
        YieldExpired = "yield_expired",
        /// Record that its task completed.
        EndCompleted = "end_completed",
        /// Record that its task failed for good.
        EndFailed = "end_failed",
        /// Record that its task was cancelled.
        EndCancelled = "end_cancelled",
        /// Record that nobody can know whether its task ran.
        EndUnknown = "end_unknown",
        /// Forget the try; its task waits for the ledger's word.
        ForgetTry = "forget_try",
        /// Forget the task.
        ForgetTask = "forget_task",
    }

    /// What is thought of a worker.
    pub enum Health {
        /// It was announced and hasn't run a task to its end yet.
        Fresh = "fresh",
        /// It runs tasks to their ends.
        Healthy = "healthy",
        /// Its announcement is overdue.
        Suspect = "suspect",
        /// It fails what it starts.
        Quarantined = "quarantined",
        /// It is tried with a single task.
        Probation = "probation",
        /// It is leaving.
        Leaving = "leaving",
        /// It has no lease.
        Silent = "silent",
    }

    /// What happens to a worker.
    pub enum HealthEvent {
        /// It announced itself.
        Announced = "announced",
        /// Its announcement is overdue.
        Overdue = "overdue",
        /// Its lease has surely run out.
        Lapsed = "lapsed",
        /// It was restarted, or another epoch began.
        Reset = "reset",
        /// A try on it failed.
        Failure = "failure",
        /// A try on it completed.
        Success = "success",
        /// A try was placed on it.
        Placed = "placed",
        /// A try left it without a verdict.
        Vacated = "vacated",
        /// Its time in quarantine is over.
        BackedOff = "backed_off",
    }

    /// What a transition of a worker depends on.
    pub enum HealthGuard {
        /// It said that it is leaving.
        Leaving = "leaving",
        /// It fails more than the same kinds of tasks fail elsewhere.
        Failing = "failing",
    }

    /// What a transition of a worker does.
    pub enum HealthAction {
        /// Let it get work.
        Admit = "admit",
        /// Let it get no work.
        Withdraw = "withdraw",
        /// Evict its tries because it is leaving.
        Shed = "shed",
        /// Give back the tries on it that haven't left yet.
        ShedQueued = "shed_queued",
        /// Count its batch tries as stopped.
        Expire = "expire",
        /// Wait before it is tried again.
        BackOff = "back_off",
        /// Forget its failures.
        Forgive = "forgive",
    }
}

pub(super) type PhaseChart = Chart<Phase, PhaseEvent, PhaseGuard, PhaseAction>;
pub(super) type HealthChart = Chart<Health, HealthEvent, HealthGuard, HealthAction>;

/// The chart of a try; the file is part of the program, and a test loads it.
pub(super) static ATTEMPT: LazyLock<PhaseChart> = LazyLock::new(|| {
    let vocabulary = Vocabulary {
        states: (Phase::ALL, Phase::NAMES),
        events: (PhaseEvent::ALL, PhaseEvent::NAMES),
        guards: (PhaseGuard::ALL, PhaseGuard::NAMES),
        actions: (PhaseAction::ALL, PhaseAction::NAMES),
    };
    let text = include_str!("../../../charts/attempt.jsonc");
    Chart::parse("charts/attempt.jsonc", text, &vocabulary)
        .unwrap_or_else(|findings| panic!("{findings}"))
});

/// The chart of a worker.
pub(super) static WORKER: LazyLock<HealthChart> = LazyLock::new(|| {
    let vocabulary = Vocabulary {
        states: (Health::ALL, Health::NAMES),
        events: (HealthEvent::ALL, HealthEvent::NAMES),
        guards: (HealthGuard::ALL, HealthGuard::NAMES),
        actions: (HealthAction::ALL, HealthAction::NAMES),
    };
    let text = include_str!("../../../charts/worker.jsonc");
    Chart::parse("charts/worker.jsonc", text, &vocabulary)
        .unwrap_or_else(|findings| panic!("{findings}"))
});
