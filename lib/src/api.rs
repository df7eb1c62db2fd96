//! The bodies and headers that callers, operators and targets exchange with an instance.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    data,
    ids::{IdempotencyKey, TaskId},
    resources::Resources,
    task::TaskSpec,
};

/// Header of every answer: what became of the work that was asked for.
pub const OUTCOME_HEADER: &str = "hickorylink-outcome";

/// Header of a request: `true` if it may run more than once. Without it a request is sent at
/// most once.
pub const IDEMPOTENT_HEADER: &str = "hickorylink-idempotent";

/// Header of a request: how long the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "hickorylink-deadline-ms";

/// Header of a request: tells a resend from a new request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header of a request to a target: the customer it is for.
pub const CUSTOMER_HEADER: &str = "hickorylink-customer";

/// Header of a request and its answer: the number by which it is followed through the logs.
pub const REQUEST_HEADER: &str = "hickorylink-request";

/// Header of a list: the number that tells a resent edit from a new one.
pub const EDIT_ID_HEADER: &str = "hickorylink-edit";

/// The work ran.
pub const OUTCOME_RAN: &str = "ran";

/// The work did not run.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// The work may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";

/// Mebibytes in a gibibyte.
const MIB_PER_GIB: f64 = 1024.0;

/// Thousandths in a whole.
const MILLICORES_PER_PROCESSOR: f64 = 1000.0;

/// The most processors or gibibytes that a task may ask for; far above any worker.
const MAX_QUANTITY: f64 = 1_000_000.0;

/// The longest kind of task and idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// The longest declared run time, in milliseconds: a year.
const MAX_RUN_TIME_MS: u64 = 365 * 24 * 3600 * 1000;

data! {
    /// What a task asks for, as people write it.
    #[derive(Copy)]
    pub struct SizeBody {
        /// Processors.
        #[serde(default)]
        pub processors: Quantity,
        /// Memory, in gibibytes.
        #[serde(default)]
        pub memory_gib: Quantity,
        /// Accelerators.
        #[serde(default)]
        pub accelerators: u32,
    }

    /// A submission of a task.
    #[serde(deny_unknown_fields)]
    pub struct SubmitBody {
        /// Tells a resend from a new task.
        pub key: String,
        /// The kind of task.
        pub kind: String,
        /// What it asks for.
        pub size: SizeBody,
        /// The declared run time, in milliseconds.
        pub run_time_ms: u64,
        /// Whether it must start within a second.
        #[serde(default)]
        pub urgent: bool,
        /// Whether it may be run again from the start after it may have run.
        #[serde(default)]
        pub idempotent: bool,
        /// The data centre it must run in.
        #[serde(default)]
        pub centre: Option<String>,
        /// What the worker is to run.
        #[serde(default)]
        pub payload: String,
    }

    /// The answer to a submission.
    pub struct SubmittedBody {
        /// The task's number.
        pub task: TaskId,
    }

    /// The answer to anything that went wrong.
    pub struct ErrorBody {
        /// Whether the work ran: `ran`, `not-run` or `unknown`.
        pub outcome: String,
        /// What went wrong, as a word for programs.
        pub error: String,
        /// What went wrong, and what to do next.
        pub message: String,
    }
}

/// A number that is neither negative nor infinite.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64")]
pub struct Quantity(f64);

impl Eq for Quantity {}

impl TryFrom<f64> for Quantity {
    type Error = String;

    fn try_from(number: f64) -> Result<Self, String> {
        if (0.0..=MAX_QUANTITY).contains(&number) {
            return Ok(Self(number));
        }
        Err(format!("{number} is not from 0 to {MAX_QUANTITY}"))
    }
}

impl SizeBody {
    /// An amount; what isn't from 0 to the largest size counts as 0.
    pub fn new(processors: f64, memory_gib: f64, accelerators: u32) -> Self {
        Self {
            processors: processors.try_into().unwrap_or_default(),
            memory_gib: memory_gib.try_into().unwrap_or_default(),
            accelerators,
        }
    }

    /// The amount in whole units; fractions are rounded up.
    pub fn resources(&self) -> Resources {
        Resources {
            millicores: (self.processors.0 * MILLICORES_PER_PROCESSOR).ceil() as u64,
            memory_mib: (self.memory_gib.0 * MIB_PER_GIB).ceil() as u64,
            accelerators: self.accelerators,
        }
    }
}

impl SubmitBody {
    /// The key and the task, checked.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, a line each.
    pub fn check(&self) -> Result<(IdempotencyKey, TaskSpec), String> {
        let mut wrong = Vec::new();
        for (field, text) in [("key", &self.key), ("kind", &self.kind)] {
            if text.is_empty() || text.len() > MAX_KEY_BYTES {
                wrong.push(format!("\"{field}\" must have 1 to {MAX_KEY_BYTES} bytes"));
            }
        }
        let size = self.size.resources();
        if size.millicores == 0 && size.accelerators == 0 {
            wrong.push("\"size\" must ask for processors or accelerators".to_owned());
        }
        if self.run_time_ms == 0 || self.run_time_ms > MAX_RUN_TIME_MS {
            wrong.push(format!("\"run_time_ms\" must be from 1 to {MAX_RUN_TIME_MS}"));
        }
        if !wrong.is_empty() {
            return Err(wrong.join("\n"));
        }
        let spec = TaskSpec {
            kind: self.kind.as_str().into(),
            size,
            run_time: Duration::from_millis(self.run_time_ms),
            urgent: self.urgent,
            idempotent: self.idempotent,
            centre: self.centre.as_deref().map(Into::into),
            service: None,
            payload: Bytes::copy_from_slice(self.payload.as_bytes()),
        };
        Ok((self.key.as_str().into(), spec))
    }
}
