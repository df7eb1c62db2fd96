//! Membership: which controllers vote.
//!
//! Every controller records whom it hears. The leader adds controllers that announce themselves, and
//! replaces voters that are silent or shut down by standbys.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    consensus::{
        log::{Entry, Members, Payload},
        port::{Event, Status},
    },
    ids::{DataCentre, InstanceId},
    jobs::{
        record::{Batch, Node, Record},
        voters::{AbsentVoter, MemberCounts},
    },
    time::Time,
};

/// The interval between two membership checks of the leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The time without a hello after which a controller doesn't count as alive. Hellos are sent every
/// second.
pub(crate) const ALIVE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The controllers from which this one has received a hello.
#[derive(Debug)]
pub struct Membership {
    target_voters: usize,
    /// A voter that was never heard counts as silent from here on.
    created: Time,
    next_check: Time,
    seen: BTreeMap<InstanceId, (Node, Time)>,
    /// Those of them that another controller has replaced at their address.
    replaced: BTreeSet<InstanceId>,
    /// Those that are shutting down.
    leaving: BTreeSet<InstanceId>,
}

impl Membership {
    /// Creates a membership that aims at `target_voters` voters.
    pub fn new(target_voters: usize, now: Time) -> Self {
        Self {
            target_voters,
            created: now,
            next_check: now,
            seen: BTreeMap::new(),
            replaced: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Records a hello from a controller. A late one of a controller that was replaced is ignored.
    pub fn record_hello(&mut self, now: Time, node: &Node) {
        if self.replaced.contains(&node.id) {
            return;
        }
        // A new controller at the address of an old one replaces it, with an empty disk.
        let old =
            self.seen.extract_if(.., |id, (known, _)| *id != node.id && known.peer == node.peer);
        self.replaced.extend(old.map(|(id, _)| id));
        self.seen.insert(node.id, (node.clone(), now));
    }

    /// Records whether a controller is shutting down.
    pub fn set_leaving(&mut self, instance: InstanceId, leaving: bool) {
        if leaving {
            self.leaving.insert(instance);
        } else {
            self.leaving.remove(&instance);
        }
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Time {
        self.next_check
    }

    /// The membership events for the consensus module. `nodes` are the controllers in the
    /// replicated state.
    pub fn tick(
        &mut self,
        now: Time,
        status: &Status,
        nodes: &BTreeMap<InstanceId, Node>,
    ) -> Vec<Event> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        let alive: Vec<&Node> = self.alive(now).collect();
        let mut events = vec![Event::Standbys { instances: alive.iter().map(|n| n.id).collect() }];
        let new = alive.iter().filter(|node| !status.members.contains(node.id));
        events.extend(new.map(|node| Event::AddLearner { instance: node.id }));
        if let Some(event) = self.voter_change(now, status, &alive, nodes) {
            events.push(event);
        }
        events
    }

    /// The controllers that were heard recently. One that is shutting down takes no new part.
    fn alive(&self, now: Time) -> impl Iterator<Item = &Node> {
        let heard = self.seen.values().filter(move |(_, seen)| now.since(*seen) < ALIVE_TIMEOUT);
        heard.map(|(node, _)| node).filter(|node| !self.leaving.contains(&node.id))
    }

    /// How many controllers there are, and how many of them vote.
    pub fn counts(&self, now: Time, members: &Members) -> MemberCounts {
        let voters = members.voters.iter();
        MemberCounts {
            voters: members.voters.len(),
            live_voters: voters.filter(|voter| !self.has_departed(now, **voter)).count(),
            standbys: self.alive(now).filter(|node| !members.is_voter(node.id)).count(),
            wanted: self.target_voters,
        }
    }

    /// The voters that don't count as live.
    pub fn absent_voters(
        &self,
        now: Time,
        members: &Members,
        addresses: &BTreeMap<InstanceId, SocketAddr>,
    ) -> Vec<AbsentVoter> {
        let absent = members.voters.iter().filter(|voter| self.has_departed(now, **voter));
        absent.map(|id| AbsentVoter { id: *id, peer: addresses.get(id).copied() }).collect()
    }

    /// Whether a voter is silent. Its last hello may have come before this controller began to
    /// lead.
    fn is_silent(&self, now: Time, voter: InstanceId) -> bool {
        let heard = self.seen.get(&voter).map_or(self.created, |(_, heard)| *heard);
        now.since(heard) >= ALIVE_TIMEOUT
    }

    /// Whether a voter is silent or shutting down.
    fn has_departed(&self, now: Time, voter: InstanceId) -> bool {
        self.is_silent(now, voter) || self.leaving.contains(&voter)
    }

    /// The voters that are silent or shutting down, in the order in which they are removed: one
    /// that shuts down still counts towards a quorum, and after the leader an election follows.
    fn departed(&self, now: Time, status: &Status) -> Vec<InstanceId> {
        let voters = status.members.voters.iter().copied();
        let mut departed: Vec<_> = voters.filter(|voter| self.has_departed(now, *voter)).collect();
        departed.sort_by_key(|voter| (!self.is_silent(now, *voter), status.leader == Some(*voter)));
        departed
    }

    /// If a new controller answers at the address of a voter, the voter has lost its disk.
    fn replaced_voter(
        &self,
        status: &Status,
        alive: &[&Node],
        nodes: &BTreeMap<InstanceId, Node>,
    ) -> Option<Event> {
        let Members { voters, learners } = &status.members;
        let mut unheard = voters.iter().filter(|voter| !self.seen.contains_key(voter));
        unheard.find_map(|voter| {
            let peer = nodes.get(voter)?.peer;
            let new = alive.iter().find(|node| node.peer == peer && learners.contains(&node.id))?;
            Some(Event::ReplaceVoter { lost: *voter, by: new.id })
        })
    }

    /// The data centre of a controller. The record of a voter may not be committed yet.
    fn centre<'a>(
        &'a self,
        id: InstanceId,
        nodes: &'a BTreeMap<InstanceId, Node>,
    ) -> Option<&'a DataCentre> {
        let seen = self.seen.get(&id).map(|(node, _)| node);
        seen.or_else(|| nodes.get(&id)).map(|node| &node.centre)
    }

    /// The next change of voters, if one is needed.
    fn voter_change(
        &self,
        now: Time,
        status: &Status,
        alive: &[&Node],
        nodes: &BTreeMap<InstanceId, Node>,
    ) -> Option<Event> {
        if let Some(event) = self.replaced_voter(status, alive, nodes) {
            return Some(event);
        }
        let Members { voters, learners } = &status.members;
        let departed = self.departed(now, status);
        let mut staying: BTreeMap<_, usize> = BTreeMap::new();
        for voter in voters.iter().filter(|voter| !departed.contains(voter)) {
            *staying.entry(self.centre(*voter, nodes)).or_default() += 1;
        }
        let voters_in = |centre: Option<&DataCentre>| staying.get(&centre).copied().unwrap_or(0);
        if voters.len() > self.target_voters {
            // A group of even size bears no more losses than one that is smaller by one, and no half
            // of it is a quorum.
            let surplus = || {
                let all_heard = voters.iter().all(|voter| self.seen.contains_key(voter));
                let others = voters.iter().filter(|voter| status.leader != Some(**voter));
                let most = others.max_by_key(|id| (voters_in(self.centre(**id, nodes)), **id));
                most.filter(|_| all_heard)
            };
            let instance = *departed.first().or_else(surplus)?;
            return Some(Event::RemoveMember { instance });
        }
        if voters.len() == self.target_voters && departed.is_empty() {
            return None;
        }
        // While a voter is missing, a standby in any data centre is better than one that may never
        // catch up.
        let lags = |node: &Node| !departed.is_empty() && !status.caught_up.contains(&node.id);
        let standbys = alive.iter().filter(|node| learners.contains(&node.id));
        let best =
            standbys.min_by_key(|node| (lags(node), voters_in(Some(&node.centre)), node.id))?;
        Some(Event::Promote { instance: best.id })
    }
}

/// The peer addresses of the controllers that appear in recovered log entries.
///
/// These entries can't be applied before a leader confirms that they are committed. Without the
/// addresses in them, however, no leader could be elected after a restart of all controllers.
pub fn recorded_peers(entries: &[Entry]) -> BTreeMap<InstanceId, SocketAddr> {
    let batches = entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => Batch::decode(bytes).ok(),
        Payload::Empty | Payload::Members(_) => None,
    });
    let records = batches.flat_map(|batch| batch.records);
    let nodes = records.filter_map(|record| match record {
        Record::Node(node) => Some((node.id, node.peer)),
        Record::Configure(_)
        | Record::Submit { .. }
        | Record::Cancel { .. }
        | Record::AddWorker { .. }
        | Record::RemoveWorker { .. }
        | Record::Start { .. }
        | Record::End { .. }
        | Record::Forget { .. } => None,
    });
    nodes.collect()
}
