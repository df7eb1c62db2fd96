//! The response to a worker's heartbeat.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::Epoch,
    jobs::model::{JobSpec, Run, TaskKey},
};

/// The response to a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatResponse {
    /// The fencing token of the leader.
    pub epoch: Epoch,
    /// The duration of the lease, counted from when the heartbeat was sent. A lease is never
    /// shortened: zero renews none.
    pub lease: Duration,
    /// Runs to start.
    pub starts: Vec<RunStart>,
    /// Runs to stop.
    pub stops: Vec<(TaskKey, Run)>,
    /// Runs with a new pace, in percent.
    pub paces: Vec<(TaskKey, Run, u8)>,
    /// Ends up to this number are recorded.
    pub acknowledged: u64,
    /// The time until the worker's next heartbeat.
    pub next_heartbeat: Duration,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: Run,
    /// The job, whose payload is passed to the task.
    pub spec: Arc<JobSpec>,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
}
