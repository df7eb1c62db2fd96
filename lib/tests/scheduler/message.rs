//! Messages between workers and instances.

use hickorylink_lib::{
    ids::{Epoch, Fence},
    worker::{Announcement, LeaseAnswer, WorkerCommand},
};

/// What is on its way.
pub(crate) enum Message {
    Announce { worker: usize, sent: u64, instance: usize, said: Box<Announcement> },
    Answer { worker: usize, sent: u64, incarnation: u64, answer: LeaseAnswer },
    Command { worker: usize, epoch: Epoch, fence: Fence, commands: Vec<WorkerCommand> },
}

impl Message {
    /// The same message once more.
    pub(crate) fn again(&self) -> Self {
        match self {
            Self::Announce { worker, sent, instance, said } => Self::Announce {
                worker: *worker,
                sent: *sent,
                instance: *instance,
                said: said.clone(),
            },
            Self::Answer { worker, sent, incarnation, answer } => Self::Answer {
                worker: *worker,
                sent: *sent,
                incarnation: *incarnation,
                answer: answer.clone(),
            },
            Self::Command { worker, epoch, fence, commands } => Self::Command {
                worker: *worker,
                epoch: *epoch,
                fence: *fence,
                commands: commands.clone(),
            },
        }
    }
}
