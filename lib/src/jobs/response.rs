//! What a worker is told in answer to its heartbeat.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::Epoch,
    jobs::model::{JobSpec, Run, TaskKey},
};

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatResponse {
    /// The fencing token of the controller that leads.
    pub epoch: Epoch,
    /// How long the worker's runs may go on, from the sending of the heartbeat.
    pub lease: Duration,
    /// Runs to start.
    pub starts: Vec<RunStart>,
    /// Runs to stop.
    pub stops: Vec<(TaskKey, Run)>,
    /// The shares at which runs may work from now on, in percent.
    pub paces: Vec<(TaskKey, Run, u8)>,
    /// Ends up to this number are recorded.
    pub acknowledged: u64,
    /// When the worker should send its next heartbeat.
    pub next_heartbeat: Duration,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: Run,
    /// The job, for the text that is handed to the task.
    pub spec: Arc<JobSpec>,
    /// The progress to resume from; empty if there is none.
    pub checkpoint: Box<str>,
}
