//! The end of a turn of a controller, and the proposals that wait for their commit.

use bytes::Bytes;

use crate::{
    consensus::port as consensus,
    jobs::{
        call::{OperatorReply, Reply},
        controller::{Answer, Controller, Effect, Ticket, leader::Leader, proposal::StateChanges},
        record::Batch,
    },
    time::{Time, WallTime},
};

/// The size beyond which the records of a turn become several log entries, in bytes. Entries have to fit
/// frames between controllers, and a large one holds up those behind it.
const MAX_ENTRY_BYTES: usize = 1 << 20;

/// The size of the entries after a snapshot beyond which the next one is taken, in bytes. The smallest disks
/// have 128 MB.
const MAX_LOG_BYTES: usize = 8 << 20;

/// A proposal that isn't committed yet, with the answers that depend on it.
#[derive(Debug)]
pub(super) struct PendingProposal {
    pub(super) number: u64,
    pub(super) since: Time,
    pub(super) records: usize,
    pub(super) answers: Vec<(Ticket, Answer)>,
}

impl Controller {
    /// Stops leading. A pending proposal may still be committed by the next leader, so its callers
    /// are told that the outcome is unknown.
    pub(super) fn step_down(&mut self, out: &mut Vec<Effect>) {
        let leader = self.leader.take();
        let held = leader.into_iter().flat_map(Leader::into_tickets);
        let held = held.map(|ticket| (ticket, Answer::Redirect(None)));
        let waiting = self.pending.drain(..).flat_map(|pending| pending.answers);
        let waiting = waiting.map(|(ticket, answer)| match answer {
            Answer::Reply(_) => (ticket, Answer::Reply(Reply::Unknown)),
            Answer::Operator(_) => (ticket, Answer::Operator(OperatorReply::Unknown)),
            Answer::Heartbeat(_)
            | Answer::Acknowledged
            | Answer::Redirect(_)
            | Answer::Status(_) => (ticket, Answer::Redirect(None)),
        });
        let all: Vec<_> = held.chain(waiting).collect();
        out.extend(all.into_iter().map(|(ticket, answer)| Effect::Answer {
            ticket,
            answer,
            until: None,
        }));
    }

    /// Places waiting tasks and proposes the new records, usually as one log entry.
    pub(super) fn finish_turn(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if !self.leads(now) {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let proposal = leader.finish_turn(now, wall, out);
        if !proposal.is_empty() {
            let (since, changes) = (now, proposal.len());
            let StateChanges { records, crashes, evacuations, estimates, cancels } =
                proposal.changes;
            let (origin, number) = (self.config.me.id, self.proposals + 1);
            let batch = Batch { origin, number, records, crashes, evacuations, estimates, cancels };
            let commands = encode_records(batch);
            let first = self.proposals + 1;
            self.proposals += commands.len() as u64;
            // The entries are committed in order, so the answers wait for the last one.
            let (number, answers) = (self.proposals, proposal.answers);
            self.pending.push_back(PendingProposal { number, since, records: changes, answers });
            for (number, command) in (first..).zip(commands) {
                let ticket = crate::ids::Ticket(number);
                self.step_consensus(now, consensus::Event::Propose { ticket, command });
            }
        } else if let Some(last) = self.pending.back_mut() {
            last.answers.extend(proposal.answers);
        } else {
            for (ticket, answer) in proposal.answers {
                self.answer(now, ticket, answer, out);
            }
        }
    }

    /// Takes a snapshot after many entries, or after entries that are large together.
    pub(super) fn compact(&mut self, now: Time) {
        let many = self.applied.0 >= self.compacted.0 + self.config.snapshot_every;
        // A large state isn't written more often than as much has been logged.
        let large = self.logged_bytes >= MAX_LOG_BYTES.max(self.snapshot_bytes);
        if !many && !large {
            return;
        }
        self.compacted = self.applied;
        let state = Bytes::from(self.committed.encode());
        (self.logged_bytes, self.snapshot_bytes) = (0, state.len());
        self.step_consensus(now, consensus::Event::Compacted { index: self.applied, state });
    }
}

/// Encodes the records of a turn, as several batches if they are too large for one.
fn encode_records(batch: Batch) -> Vec<Bytes> {
    let encoded = batch.encode();
    if encoded.len() <= MAX_ENTRY_BYTES {
        return vec![encoded.into()];
    }
    let parts = batch.split(MAX_ENTRY_BYTES);
    parts.iter().map(|part| Bytes::from(part.encode())).collect()
}
