//! The requests of customers and operators, and the replies to them.

use std::sync::Arc;

use crate::{
    data,
    jobs::{config::Config, evacuation::EvacuationOrder, lifecycle::JobPhase, model::JobSpec},
};

data! {
    /// A customer's call. The leader routes it to a queue by host and path.
    pub struct Call {
        /// The host in the request.
        pub host: Box<str>,
        /// The path in the request.
        pub path: Box<str>,
        /// The requested action.
        pub action: Action,
    }

    /// The action that a customer requests.
    pub enum Action {
        /// Submit a job.
        Submit(JobSpec),
        /// Read the state of a job, or the number of pending jobs in a queue.
        Show,
        /// Cancel a job.
        Cancel,
    }

    /// The reply to a customer.
    pub enum Reply {
        /// The job is stored.
        Accepted,
        /// The state of the job.
        Job(JobPhase),
        /// No job has this identifier.
        NoJob,
        /// The job is cancelled or has already ended.
        Cancelled,
        /// The number of pending jobs in the queue.
        Pending(u32),
        /// No queue matches the host and path.
        NoQueue,
        /// The request is invalid and had no effect.
        Invalid(Box<str>),
        /// The request had no effect and may be retried.
        NotRun,
        /// The request may or may not have taken effect.
        Unknown,
        /// The job was cancelled before it was submitted. The request had no effect, and a retry won't have
        /// one either.
        Withdrawn,
    }
}

impl Call {
    /// About how many bytes the call takes in memory.
    pub fn memory_bytes(&self) -> u64 {
        let job = match &self.action {
            Action::Submit(spec) => spec.memory_bytes(),
            Action::Show | Action::Cancel => 0,
        };
        (size_of::<Self>() + self.host.len() + self.path.len()) as u64 + job
    }
}

impl Action {
    /// Whether the action changes a job.
    pub fn changes(&self) -> bool {
        match self {
            Self::Submit(_) | Self::Cancel => true,
            Self::Show => false,
        }
    }

    /// The name of the action in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }
}

impl Reply {
    /// The name of the reply in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Job(_) => "job",
            Self::NoJob => "no_job",
            Self::Cancelled => "cancelled",
            Self::Pending(_) => "pending",
            Self::NoQueue => "no_queue",
            Self::Invalid(_) => "invalid",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// A request from an operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Set the configuration.
    Configure(Box<Config>),
    /// Read the configuration in force.
    Show,
    /// Evacuate a data centre, or cancel its evacuation.
    Evacuation(EvacuationOrder),
}

/// The reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The configuration is stored, unless the one in force is at least as new; or the order about a data
    /// centre is stored.
    Stored,
    /// The configuration in force.
    Config(Arc<Config>),
    /// No configuration has been set.
    NoConfig,
    /// There is no data centre with this name.
    NoCentre,
    /// As many data centres are evacuated as possible.
    TooManyCentres,
    /// The request may or may not have taken effect.
    Unknown,
}
