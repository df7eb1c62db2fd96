//! Who of the controllers votes: the leader brings in those that introduce themselves.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    consensus::{
        log::{Entry, Payload},
        port::{Event, Status},
    },
    ids::{DataCentre, InstanceId},
    jobs::record::{Batch, Node, Record},
    time::Time,
};

/// How often the leader looks after the members.
const LOOK: Duration = Duration::from_millis(250);

/// How long a controller may be silent and still count as alive; they introduce themselves every
/// second.
const ALIVE: Duration = Duration::from_millis(2500);

/// The controllers that were heard.
#[derive(Debug)]
pub struct Membership {
    wanted: usize,
    look: Time,
    heard: BTreeMap<InstanceId, (Node, Time)>,
}

impl Membership {
    /// Aims at `wanted` voters.
    pub fn new(wanted: usize, now: Time) -> Self {
        Self { wanted, look: now, heard: BTreeMap::new() }
    }

    /// Notes that a controller was heard.
    pub fn hear(&mut self, now: Time, node: &Node) {
        // A new controller at the address of an old one is in its place, with an empty disk.
        self.heard.retain(|id, (known, _)| *id == node.id || known.peer != node.peer);
        self.heard.insert(node.id, (node.clone(), now));
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Time {
        self.look
    }

    /// What to tell the agreement; `nodes` are the controllers that it recorded.
    pub fn tick(
        &mut self,
        now: Time,
        status: &Status,
        nodes: &BTreeMap<InstanceId, Node>,
    ) -> Vec<Event> {
        if now < self.look {
            return Vec::new();
        }
        self.look = now + LOOK;
        let alive: Vec<&Node> = self
            .heard
            .values()
            .filter(|(_, heard)| now.since(*heard) < ALIVE)
            .map(|(node, _)| node)
            .collect();
        let mut events = vec![Event::Standbys { instances: alive.iter().map(|n| n.id).collect() }];
        let new = alive.iter().filter(|node| !status.members.contains(node.id));
        events.extend(new.map(|node| Event::AddLearner { instance: node.id }));
        if let Some(event) = self.change(status, &alive, nodes) {
            events.push(event);
        }
        events
    }

    /// The next change of a voter.
    fn change(
        &self,
        status: &Status,
        alive: &[&Node],
        nodes: &BTreeMap<InstanceId, Node>,
    ) -> Option<Event> {
        let learners = || alive.iter().filter(|node| status.members.learners.contains(&node.id));
        let voters = &status.members.voters;
        // A voter at whose address another controller answers has lost its disk.
        for voter in voters.iter().filter(|voter| !self.heard.contains_key(voter)) {
            let peer = nodes.get(voter).map(|node| node.peer);
            let in_place = learners().find(|node| Some(node.peer) == peer);
            if let Some(node) = in_place {
                return Some(Event::ReplaceVoter { lost: *voter, by: node.id });
            }
        }
        if voters.len() >= self.wanted {
            return None;
        }
        let centre = |id: &InstanceId| nodes.get(id).map(|node| &node.centre);
        let voters_in =
            |there: &DataCentre| voters.iter().filter(|voter| centre(voter) == Some(there)).count();
        let best = learners().min_by_key(|node| (voters_in(&node.centre), node.id))?;
        Some(Event::Promote { instance: best.id })
    }
}

/// Where the controllers are that recovered entries introduce.
///
/// Until a leader tells how far they are committed, these entries can't be applied; but without
/// the addresses in them no leader could be elected once all controllers have restarted.
pub fn introduced(entries: &[Entry]) -> BTreeMap<InstanceId, SocketAddr> {
    let batches = entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => postcard::from_bytes::<Batch>(bytes).ok(),
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
