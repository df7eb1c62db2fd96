//! The runs on a worker as the leader sees them.

use std::time::Duration;

use crate::{
    jobs::model::{Image, Run, Step},
    resources::Resources,
    time::Time,
};

/// The pace of a run that isn't throttled, in percent. All runs start at this pace.
pub const FULL_PACE_PERCENT: u8 = 100;

/// The progress of a long-running task that has started up, in percent.
const AT_WORK_PERCENT: u8 = 100;

/// A run that a worker lists but should not execute: an older run of a task that starts on the worker
/// again, or a run of an unknown job. It occupies its room until it has been stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The resources that it reserves.
    pub reserved: Resources,
    /// Whether it was absent from the last heartbeat.
    pub missing: bool,
}

/// The leader's view of a run on a worker.
#[derive(Debug)]
pub struct RunView {
    /// The number of the run.
    pub run: Run,
    /// The resources that it reserves.
    pub reserved: Resources,
    /// The processors that it requests without a reservation, in millicores.
    pub demand: u64,
    /// The target latency in milliseconds; `None` unless it is a serving run.
    pub target_latency: Option<u64>,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// The image that it executes.
    pub image: Option<Image>,
    /// The customer's estimate of its duration.
    pub estimate: Duration,
    /// When it was sent to the worker or first listed by it.
    pub since: Time,
    /// Its place in the order in which this leader decided on starts; 0 for a run that an earlier leader
    /// started.
    pub order: u64,
    /// Whether the worker may have received its start.
    pub sent: bool,
    /// Whether the worker has listed it at least once.
    pub listed: bool,
    /// When this leader first saw it listed.
    pub listed_at: Option<Time>,
    /// Whether it has been listed for so long that it isn't the cause if the worker crashes.
    pub settled: bool,
    /// Whether an earlier leader started it.
    pub restored: bool,
    /// Whether it has to settle before other runs start on the worker.
    pub probation: bool,
    /// Whether it was absent from the last heartbeat.
    pub missing: bool,
    /// Whether the worker has to stop it.
    pub stopping: bool,
    /// Its progress, in percent.
    pub percent: u8,
    /// When its progress changed last.
    pub progressed_at: Time,
    /// The latest checkpoint that the worker has listed; empty if there is none.
    pub checkpoint: Box<str>,
    /// Its last gauge; see [`Running::gauge`](crate::jobs::report::Running::gauge).
    pub gauge: u64,
    /// Since when its latency has been above the target.
    pub over_since: Option<Time>,
    /// The pace that it should have, in percent.
    pub pace: u8,
    /// The pace that the worker has, in percent; `None` for an opportunistic run that an earlier leader
    /// started, which may have throttled it.
    pub sent_pace: Option<u8>,
    /// Since when its pace has been 0.
    pub paused_since: Option<Time>,
    /// Since when it has been throttled to less than half of its speed.
    pub throttled_since: Option<Time>,
}

impl RunView {
    /// A run of `step` that was sent to the worker or listed by it for the first time.
    pub fn new(step: &Step, run: Run, now: Time) -> Self {
        Self {
            run,
            reserved: step.reserved(),
            demand: if step.options.opportunistic { step.needs.millicores } else { 0 },
            target_latency: if step.options.long_running { step.target_latency } else { None },
            long_running: step.options.long_running,
            checkpoints: step.options.checkpoints,
            image: step.image.clone(),
            estimate: Duration::from_millis(step.estimate),
            since: now,
            order: 0,
            sent: false,
            listed: false,
            listed_at: None,
            settled: false,
            restored: false,
            probation: false,
            missing: false,
            stopping: false,
            percent: 0,
            progressed_at: now,
            checkpoint: Box::default(),
            gauge: 0,
            over_since: None,
            pace: FULL_PACE_PERCENT,
            sent_pace: Some(FULL_PACE_PERCENT),
            paused_since: None,
            throttled_since: None,
        }
    }

    /// Whether the worker executes it. A long-running task is at work once it has started up.
    pub fn is_at_work(&self) -> bool {
        let started = !self.long_running || self.percent == AT_WORK_PERCENT;
        self.listed && !self.missing && !self.stopping && started
    }

    /// Whether it uses only idle processors.
    pub fn is_opportunistic(&self) -> bool {
        self.demand > 0
    }

    /// When it is expected to end; `None` for a long-running task.
    pub fn expected_end(&self) -> Option<Time> {
        (!self.long_running).then(|| self.since + self.estimate)
    }
}
