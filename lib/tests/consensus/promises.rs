//! What the agreement promises, checked against everything that the members of a world do.

use std::collections::BTreeMap;

use bytes::Bytes;
use hickorylink_lib::{
    consensus::log::{Entry, Members, Payload, Snapshot},
    ids::{Index, InstanceId, Term, Ticket},
};

/// The size of the encoded state of the test's ledger, in bytes.
const STATE_BYTES: usize = 100;

/// The test's ledger at one member: a digest of all entries in order.
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

/// All that was promised so far, and what broke a promise.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    leaders: BTreeMap<Term, InstanceId>,
    committed: BTreeMap<Index, Entry>,
    digests: BTreeMap<Index, u64>,
    commands: BTreeMap<Bytes, Index>,
    accepted: BTreeMap<(InstanceId, Index, Term), Ticket>,
    acked: BTreeMap<Ticket, Index>,
    floors: BTreeMap<Ticket, Index>,
    pub(crate) reads: u64,
    pub(crate) elections: u64,
    pub(crate) restores: u64,
    violations: Vec<String>,
}

impl Promises {
    /// The first violation, if there was one.
    pub(crate) fn verdict(&self) -> Result<(), String> {
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

    /// The last entry that anybody was told is committed.
    pub(crate) fn newest_ack(&self) -> Index {
        self.acked.values().max().copied().unwrap_or_default()
    }

    /// The newest members that are committed.
    pub(crate) fn members(&self) -> Option<&Members> {
        self.committed.values().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Command(_) => None,
        })
    }

    /// A proposal has a place in a leader's log.
    pub(crate) fn accept(&mut self, at: InstanceId, ticket: Ticket, index: Index, term: Term) {
        self.accepted.insert((at, index, term), ticket);
    }

    /// A read begins, which must see all that anybody has applied by now.
    pub(crate) fn begin_read(&mut self, ticket: Ticket) {
        let floor = self.committed.keys().next_back().copied().unwrap_or_default();
        self.floors.insert(ticket, floor);
    }

    /// A read is answered.
    pub(crate) fn end_read(&mut self, at: InstanceId, ticket: Ticket, index: Index) {
        self.reads += 1;
        let floor = self.floors.remove(&ticket);
        if floor.is_none_or(|floor| index < floor) {
            self.fail(format!("{at}: reads at {index}, before {floor:?}"));
        }
    }

    /// A member leads: nobody else may in that term.
    pub(crate) fn elect(&mut self, at: InstanceId, term: Term) {
        self.elections += 1;
        let first = *self.leaders.entry(term).or_insert(at);
        if first != at {
            self.fail(format!("{first} and {at} both lead in term {term}"));
        }
    }

    /// A member applies an entry: the next one, the one that all apply, and no command twice.
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
            self.fail(format!("{at}: applies another entry at {index}"));
        }
        if let Payload::Command(command) = &entry.payload {
            let first = *self.commands.entry(command.clone()).or_insert(index);
            if first != index {
                self.fail(format!("{at}: applies a command at {first} and {index}"));
            }
        }
        self.committed.entry(index).or_insert(entry);
    }

    /// A member takes a snapshot's state, which must be the state at that index.
    pub(crate) fn restore(&mut self, at: InstanceId, replica: &mut Replica, snapshot: &Snapshot) {
        self.restores += 1;
        let index = snapshot.index;
        let digest = self.digests.get(&index).copied().unwrap_or_default();
        *replica = Replica { applied: index, digest };
        if replica.encode() != snapshot.state {
            self.fail(format!("{at}: restores another state at {index}"));
        }
    }
}

fn digest(before: u64, entry: &Entry) -> u64 {
    let bytes = postcard::to_stdvec(entry).expect("an entry can be encoded");
    let mut all = before.to_le_bytes().to_vec();
    all.extend(bytes);
    u64::from_le_bytes(blake3::hash(&all).as_bytes()[..8].try_into().expect("eight bytes"))
}
