//! Messages between workers and instances.

use hickorylink_lib::{
    ids::{Epoch, Fence},
    worker::{Announcement, LeaseAnswer, WorkerCommand},
};

/// A message in flight.
pub(crate) enum Message {
    Announce { worker: usize, sent: u64, instance: usize, announcement: Box<Announcement> },
    Answer { worker: usize, sent: u64, incarnation: u64, answer: LeaseAnswer },
    Command { worker: usize, epoch: Epoch, fence: Fence, commands: Vec<WorkerCommand> },
}

impl Message {
    /// A duplicate of the message.
    pub(crate) fn duplicate(&self) -> Self {
        match self {
            Self::Announce { worker, sent, instance, announcement } => Self::Announce {
                worker: *worker,
                sent: *sent,
                instance: *instance,
                announcement: announcement.clone(),
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
