//! The state charts of attempts and workers, with the names that they use.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    symbols,
};

symbols! {
    /// The phase of an attempt.
    pub enum Phase {
        /// Its start was proposed to the ledger.
        Recording = "recording",
        /// Its start was recorded and the start command was sent.
        Starting = "starting",
        /// Its worker reported that it runs.
        Running = "running",
        /// It runs with a part of its processors.
        Throttled = "throttled",
        /// It was told to stop.
        Stopping = "stopping",
        /// It was recorded under an earlier epoch, and its worker hasn't reported under this one.
        Inherited = "inherited",
        /// It has stopped; the record that requeues its task was proposed.
        Yielding = "yielding",
        /// It has stopped; the record of its task's end was proposed.
        Ending = "ending",
        /// It is no longer tracked.
        Closed = "closed",
    }

    /// An event of an attempt.
    pub enum PhaseEvent {
        /// The ledger recorded its start.
        Recorded = "recorded",
        /// The ledger refused its start.
        Refused = "refused",
        /// Its worker reports that it runs.
        ReportedRunning = "reported_running",
        /// Its worker, in the same boot, doesn't list it.
        Unlisted = "unlisted",
        /// Its worker reports that it completed.
        Completed = "completed",
        /// Its worker reports that it failed.
        Failed = "failed",
        /// Its worker reports that it stopped.
        Stopped = "stopped",
        /// Its worker refused to start it.
        NotStarted = "not_started",
        /// It has certainly stopped, and its worker can't report how.
        Lost = "lost",
        /// It must leave its worker.
        Evict = "evict",
        /// Its customer cancelled its task.
        Cancel = "cancel",
        /// It must run at another speed.
        Throttle = "throttle",
        /// The data centre's epoch changed.
        EpochChanged = "epoch_changed",
        /// A proposed record wasn't answered in time.
        Retry = "retry",
        /// The ledger recorded that its task is queued again.
        YieldRecorded = "yield_recorded",
        /// The ledger recorded its task's end.
        EndRecorded = "end_recorded",
    }

    /// A guard of an attempt's transition.
    pub enum PhaseGuard {
        /// Its customer cancelled its task.
        Cancelled = "cancelled",
        /// It was evicted before its start, or its worker has no lease.
        CannotStart = "cannot_start",
        /// Its task is idempotent, so that it may be run again from the start.
        Idempotent = "idempotent",
        /// It stopped with a checkpoint.
        Checkpointed = "checkpointed",
        /// Its task isn't idempotent, or has reached the limit of failures.
        AttemptsExhausted = "attempts_exhausted",
        /// Its end is only inferred, from the expiry of its worker's lease.
        PresumedStopped = "presumed_stopped",
        /// The last throttle command is still to be resent.
        ResendsLeft = "resends_left",
        /// The new speed is full speed.
        FullSpeed = "full_speed",
    }

    /// An action of an attempt's transition.
    pub enum PhaseAction {
        /// Propose the start of the attempt.
        RecordStart = "record_start",
        /// Propose the pending record again.
        ResendRecord = "resend_record",
        /// Send the start command.
        SendStart = "send_start",
        /// Send the stop command.
        SendStop = "send_stop",
        /// Store the requested speed.
        SetSpeed = "set_speed",
        /// Send the throttle command.
        SendThrottle = "send_throttle",
        /// Store the reason of the eviction and count it against the budgets.
        MarkEvicted = "mark_evicted",
        /// Allocate its resources and charge its quota again.
        Reallocate = "reallocate",
        /// Release its resources and its quota.
        Release = "release",
        /// Put its task back into the queue.
        Requeue = "requeue",
        /// Propose that its task ends as cancelled, without this attempt.
        CancelTask = "cancel_task",
        /// Propose that its task is queued again because it never started.
        YieldNotStarted = "yield_not_started",
        /// Propose that its task is queued again because it failed.
        YieldFailed = "yield_failed",
        /// Propose that its task is queued again because it was evicted.
        YieldEvicted = "yield_evicted",
        /// Propose that its task is queued again because its lease expired.
        YieldExpired = "yield_expired",
        /// Propose that its task ends as completed.
        EndCompleted = "end_completed",
        /// Propose that its task ends as failed.
        EndFailed = "end_failed",
        /// Propose that its task ends as cancelled.
        EndCancelled = "end_cancelled",
        /// Propose that its task ends as one that may or may not have run.
        EndUnknown = "end_unknown",
        /// Drop the attempt; its task waits for the ledger.
        ForgetAttempt = "forget_attempt",
        /// Drop the task.
        ForgetTask = "forget_task",
    }

    /// The health of a worker.
    pub enum Health {
        /// It has announced itself and hasn't completed an attempt yet.
        Fresh = "fresh",
        /// It completes attempts.
        Healthy = "healthy",
        /// Its announcement is overdue.
        Suspect = "suspect",
        /// It fails more attempts than other workers do.
        Quarantined = "quarantined",
        /// It gets one task at a time after a quarantine.
        Probation = "probation",
        /// It is leaving.
        Leaving = "leaving",
        /// It has no lease.
        Silent = "silent",
    }

    /// An event of a worker.
    pub enum HealthEvent {
        /// It announced itself.
        Announced = "announced",
        /// Its announcement is overdue.
        Overdue = "overdue",
        /// Its lease has certainly expired.
        LeaseExpired = "lease_expired",
        /// It was rebooted, or the data centre's epoch changed.
        Reset = "reset",
        /// An attempt on it failed.
        Failure = "failure",
        /// An attempt on it completed.
        Success = "success",
        /// An attempt was placed on it.
        Placed = "placed",
        /// An attempt released its resources, whatever its outcome.
        AttemptReleased = "attempt_released",
        /// Its quarantine is over.
        QuarantineOver = "quarantine_over",
    }

    /// A guard of a worker's transition.
    pub enum HealthGuard {
        /// It announced that it is leaving.
        Leaving = "leaving",
        /// It fails more than the same kinds of tasks fail on other workers.
        Failing = "failing",
    }

    /// An action of a worker's transition.
    pub enum HealthAction {
        /// Make it eligible for placement.
        Admit = "admit",
        /// Exclude it from placement.
        Exclude = "exclude",
        /// Evict its attempts because it is leaving.
        Drain = "drain",
        /// Evict the attempts whose start command hasn't been sent.
        EvictUnstarted = "evict_unstarted",
        /// Treat its batch attempts as stopped.
        ExpireLease = "expire_lease",
        /// Set the end of its quarantine.
        SetQuarantine = "set_quarantine",
        /// Reset its failure statistics.
        ClearFailures = "clear_failures",
    }
}

pub(super) type PhaseChart = Chart<Phase, PhaseEvent, PhaseGuard, PhaseAction>;
pub(super) type HealthChart = Chart<Health, HealthEvent, HealthGuard, HealthAction>;

/// The chart of an attempt. The file is compiled into the program.
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
