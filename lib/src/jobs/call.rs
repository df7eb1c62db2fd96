//! What callers and operators ask, and what they are told.

use std::sync::Arc;

use crate::{
    data,
    jobs::{config::Config, lifecycle::JobPhase, model::JobSpec},
};

data! {
    /// A customer's call; the controller that leads finds its queue.
    pub struct Call {
        /// The host that was addressed.
        pub host: Box<str>,
        /// The path that was addressed.
        pub path: Box<str>,
        /// What is wanted.
        pub action: Action,
    }

    /// What a customer wants.
    pub enum Action {
        /// To submit a job.
        Submit(JobSpec),
        /// To learn where a job stands, or how many jobs of a queue wait.
        Show,
        /// To cancel a job.
        Cancel,
    }

    /// What a customer is told.
    pub enum Reply {
        /// The job is stored.
        Accepted,
        /// Where the job stands.
        Job(JobPhase),
        /// No job has this number.
        NoJob,
        /// The job ends.
        Cancelled,
        /// How many jobs of the queue wait.
        Pending(u32),
        /// No queue has this address.
        NoQueue,
        /// What was sent makes no sense; it wasn't carried out.
        Invalid(Box<str>),
        /// It wasn't carried out and won't be; it may be tried again.
        NotRun,
        /// It may or may not be carried out.
        Unknown,
    }
}

impl Action {
    /// Its name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }
}

impl Reply {
    /// Its name in metrics.
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
        }
    }
}

/// What an operator wants.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// To put a configuration in force.
    Configure(Box<Config>),
    /// To read the configuration in force.
    Show,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The configuration is stored; the one in force is at least as new.
    Stored,
    /// The configuration in force.
    Config(Arc<Config>),
    /// There is none.
    NoConfig,
    /// It isn't known.
    Unknown,
}
