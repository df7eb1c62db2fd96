//! The steps between states, for the report of a violation.

use std::fmt;

use hickorylink_lib::{consensus::message::Message, ids::InstanceId};

use crate::model::shared::Shared;

/// The step that led to a state.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Start,
    Timer(InstanceId),
    Sync(InstanceId),
    Crash(InstanceId),
    Deliver { from: InstanceId, to: InstanceId, message: Shared<Message> },
    Propose(InstanceId),
    Read(InstanceId),
    Replace(InstanceId),
    Compact(InstanceId),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start => write!(f, "start"),
            Self::Timer(at) => write!(f, "timer of {at}"),
            Self::Sync(at) => write!(f, "{at} syncs"),
            Self::Crash(at) => write!(f, "{at} crashes and restarts"),
            Self::Deliver { from, to, message } => {
                write!(f, "{from} to {to}: {:?}", message.value)
            }
            Self::Propose(at) => write!(f, "a proposal to {at}"),
            Self::Read(at) => write!(f, "a read at {at}"),
            Self::Replace(at) => write!(f, "{at} replaces 3 by 4"),
            Self::Compact(at) => write!(f, "{at} compacts"),
        }
    }
}
