//! The safety properties of consensus, checked against all effects of the simulated members.

use std::collections::BTreeMap;

use bytes::Bytes;
use hickorylink_lib::{
    consensus::log::{Entry, Members, Payload, Snapshot},
    ids::{Index, InstanceId, Term, Ticket},
};

/// The size of the encoded test state, in bytes.
const STATE_BYTES: usize = 100;

/// The state machine replicated by the test, at one member: a digest of all entries in order.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Replica {
    pub(crate) applied: Index,
    digest: u64,
}

impl Replica {
    pub(crate) fn encode(&self) -> Bytes {
        let mut state = vec![0; STATE_BYTES];
        state[..8].copy_from_slice(&self.digest.to_le_bytes());
        state.into()
    }
}

/// What the members have committed and acknowledged so far, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct Invariants {
    leaders: BTreeMap<Term, InstanceId>,
    committed: BTreeMap<Index, Entry>,
    /// The digest of the state at each index.
    digests: BTreeMap<Index, u64>,
    /// The index at which each command was first applied.
    commands: BTreeMap<Bytes, Index>,
    /// Proposals that aren't applied yet, by leader, index and term.
    accepted: BTreeMap<(InstanceId, Index, Term), Ticket>,
    /// Proposals that their leader has applied.
    acked: BTreeMap<Ticket, Index>,
    /// The smallest index that each pending read must see.
    min_indexes: BTreeMap<Ticket, Index>,
    pub(crate) reads: u64,
    pub(crate) elections: u64,
    pub(crate) restores: u64,
    violations: Vec<String>,
}

impl Invariants {
    /// The first violation, if any.
    pub(crate) fn result(&self) -> Result<(), String> {
        self.violations.first().map_or(Ok(()), |violation| Err(violation.clone()))
    }

    pub(crate) fn fail(&mut self, violation: String) {
        self.violations.push(violation);
    }

    pub(crate) fn acked(&self) -> usize {
        self.acked.len()
    }

    pub(crate) fn is_acked(&self, ticket: Ticket) -> bool {
        self.acked.contains_key(&ticket)
    }

    /// The index of the last acknowledged entry.
    pub(crate) fn newest_ack(&self) -> Index {
        self.acked.values().max().copied().unwrap_or_default()
    }

    /// The newest committed members.
    pub(crate) fn members(&self) -> Option<&Members> {
        self.committed.values().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Command(_) => None,
        })
    }

    /// Records that a proposal was appended to a leader's log.
    pub(crate) fn accept(&mut self, at: InstanceId, ticket: Ticket, index: Index, term: Term) {
        self.accepted.insert((at, index, term), ticket);
    }

    /// Records the start of a read, which must see everything that any member has applied so far.
    pub(crate) fn begin_read(&mut self, ticket: Ticket) {
        let min_index = self.committed.keys().next_back().copied().unwrap_or_default();
        self.min_indexes.insert(ticket, min_index);
    }

    /// Checks the answer to a read.
    pub(crate) fn end_read(&mut self, at: InstanceId, ticket: Ticket, index: Index) {
        self.reads += 1;
        let min_index = self.min_indexes.remove(&ticket);
        if min_index.is_none_or(|min_index| index < min_index) {
            self.fail(format!("{at}: answers a read at index {index}, below {min_index:?}"));
        }
    }

    /// Records that a member became leader, and checks that the term has no other.
    pub(crate) fn elect(&mut self, at: InstanceId, term: Term) {
        self.elections += 1;
        let first = *self.leaders.entry(term).or_insert(at);
        if first != at {
            self.fail(format!("{first} and {at} both lead in term {term}"));
        }
    }

    /// Checks that a member applies the next entry, the same one as all members, and no command
    /// twice.
    pub(crate) fn apply(&mut self, at: InstanceId, replica: &mut Replica, entry: Entry) {
        let index = entry.index;
        if index.0 != replica.applied.0 + 1 {
            self.fail(format!("{at}: applies {index} after {}", replica.applied));
            return;
        }
        replica.applied = index;
        replica.digest = digest(replica.digest, &entry);
        if let Some(ticket) = self.accepted.remove(&(at, index, entry.term)) {
            self.acked.insert(ticket, index);
        }
        if *self.digests.entry(index).or_insert(replica.digest) != replica.digest {
            self.fail(format!("{at}: applies a different entry at {index}"));
        }
        if let Payload::Command(command) = &entry.payload {
            let first = *self.commands.entry(command.clone()).or_insert(index);
            if first != index {
                self.fail(format!("{at}: applies a command at both {first} and {index}"));
            }
        }
        self.committed.entry(index).or_insert(entry);
    }

    /// Checks that a restored snapshot is the state at its index.
    pub(crate) fn restore(&mut self, at: InstanceId, replica: &mut Replica, snapshot: &Snapshot) {
        self.restores += 1;
        let index = snapshot.index;
        let digest = self.digests.get(&index).copied().unwrap_or_default();
        *replica = Replica { applied: index, digest };
        if replica.encode() != snapshot.state {
            self.fail(format!("{at}: restores a different state at {index}"));
        }
    }
}

fn digest(before: u64, entry: &Entry) -> u64 {
    let bytes = postcard::to_stdvec(entry).expect("an entry can be encoded");
    let mut all = before.to_le_bytes().to_vec();
    all.extend(bytes);
    u64::from_le_bytes(blake3::hash(&all).as_bytes()[..8].try_into().expect("eight bytes"))
}
