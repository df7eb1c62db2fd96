//! The HTTP bodies and headers that callers, operators and targets exchange with an instance.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    data,
    ids::{IdempotencyKey, TaskId},
    resources::Resources,
    task::TaskSpec,
};

/// Response header: whether the requested work ran.
pub const OUTCOME_HEADER: &str = "hickorylink-outcome";

/// Request header: `true` if the request may run more than once. Without it, a request is sent
/// at most once.
pub const IDEMPOTENT_HEADER: &str = "hickorylink-idempotent";

/// Request header: how long the caller waits for the response, in milliseconds.
pub const DEADLINE_HEADER: &str = "hickorylink-deadline-ms";

/// Request header: identifies the request, so that a resend is not taken for a new request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header of a request to a target: the customer on whose behalf it is sent.
pub const CUSTOMER_HEADER: &str = "hickorylink-customer";

/// Header of a request to a target and of its response: the request's number in the logs.
pub const REQUEST_HEADER: &str = "hickorylink-request";

/// Request header of a list edit: identifies the edit, so that a resend is not taken for a new one.
pub const EDIT_ID_HEADER: &str = "hickorylink-edit";

/// A value of [`OUTCOME_HEADER`]: the work ran.
pub const OUTCOME_RAN: &str = "ran";

/// A value of [`OUTCOME_HEADER`]: the work did not run.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// A value of [`OUTCOME_HEADER`]: the work may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";

/// Mebibytes in a gibibyte.
const MIB_PER_GIB: f64 = 1024.0;

/// Millicores in a processor.
const MILLICORES_PER_PROCESSOR: f64 = 1000.0;

/// The largest number of processors or gibibytes that a task may request; far above any worker.
const MAX_QUANTITY: f64 = 1_000_000.0;

/// The maximum length of a task kind and of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// The longest run time that a task may declare: a year.
const MAX_RUN_TIME_MS: u64 = 365 * 24 * 3600 * 1000;

data! {
    /// The resources that a task requests, in the units of the API.
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
        /// The idempotency key: a resend has the same key.
        pub key: String,
        /// The kind of task.
        pub kind: String,
        /// The requested resources.
        pub size: SizeBody,
        /// The declared run time, in milliseconds.
        pub run_time_ms: u64,
        /// Whether the task must start within a second.
        #[serde(default)]
        pub urgent: bool,
        /// Whether the task may be run again from the start once it may have run.
        #[serde(default)]
        pub idempotent: bool,
        /// The data centre that the task must run in, if any.
        #[serde(default)]
        pub centre: Option<String>,
        /// What the worker runs; opaque to the scheduler.
        #[serde(default)]
        pub payload: String,
    }

    /// The response to a submission.
    pub struct SubmittedBody {
        /// The number assigned to the task.
        pub task: TaskId,
    }

    /// The response to a request that failed.
    pub struct ErrorBody {
        /// Whether the work ran: `ran`, `not-run` or `unknown`.
        pub outcome: String,
        /// The error code.
        pub error: String,
        /// A description of the error and how to resolve it.
        pub message: String,
    }
}

/// A finite number from 0 to [`MAX_QUANTITY`].
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
    /// Creates a size; a number outside the range of [`Quantity`] becomes 0.
    pub fn new(processors: f64, memory_gib: f64, accelerators: u32) -> Self {
        Self {
            processors: processors.try_into().unwrap_or_default(),
            memory_gib: memory_gib.try_into().unwrap_or_default(),
            accelerators,
        }
    }

    /// Converts the size to whole units, rounding up.
    pub fn resources(&self) -> Resources {
        Resources {
            millicores: (self.processors.0 * MILLICORES_PER_PROCESSOR).ceil() as u64,
            memory_mib: (self.memory_gib.0 * MIB_PER_GIB).ceil() as u64,
            accelerators: self.accelerators,
        }
    }
}

impl SubmitBody {
    /// Validates the submission and returns its key and task.
    ///
    /// # Errors
    ///
    /// All validation errors, one on each line.
    pub fn check(&self) -> Result<(IdempotencyKey, TaskSpec), String> {
        let mut errors = Vec::new();
        for (field, text) in [("key", &self.key), ("kind", &self.kind)] {
            if text.is_empty() || text.len() > MAX_KEY_BYTES {
                errors.push(format!("\"{field}\" must have 1 to {MAX_KEY_BYTES} bytes"));
            }
        }
        let size = self.size.resources();
        if size.millicores == 0 && size.accelerators == 0 {
            errors.push("\"size\" must ask for processors or accelerators".to_owned());
        }
        if self.run_time_ms == 0 || self.run_time_ms > MAX_RUN_TIME_MS {
            errors.push(format!("\"run_time_ms\" must be from 1 to {MAX_RUN_TIME_MS}"));
        }
        if !errors.is_empty() {
            return Err(errors.join("\n"));
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
