//! The leader's management of the group's members: which instances are added and promoted.
//!
//! Consensus itself removes silent members and replaces lost voters by standbys; this module tells
//! it which instances exist, and has voters that drain replaced while they still answer.

use std::time::Duration;

use crate::{
    consensus::{
        chart::Role,
        port::{Event, Status},
    },
    directory::port::InstanceInfo,
    ids::{DataCentre, InstanceId},
    replicated_log::Config,
    time::Time,
};

/// How often the leader checks the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Manages the members while this instance leads the group.
#[derive(Clone, Debug)]
pub struct MembershipManager {
    voters: usize,
    next_check: Time,
    standbys: Vec<InstanceId>,
}

impl MembershipManager {
    /// Creates a manager for the number of voters in `config`.
    pub fn new(config: &Config, now: Time) -> Self {
        Self { voters: config.voters, next_check: now, standbys: Vec::new() }
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Time {
        self.next_check
    }

    /// The events for consensus, if a check is due.
    pub fn tick(&mut self, now: Time, status: &Status, alive: &[InstanceInfo]) -> Vec<Event> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        if status.role != Role::Leader {
            self.standbys.clear();
            return Vec::new();
        }
        let mut events = Vec::new();
        let instances: Vec<_> =
            alive.iter().filter(|i| i.disk && !i.draining).map(|i| i.instance).collect();
        if instances != self.standbys {
            self.standbys.clone_from(&instances);
            events.push(Event::Standbys { instances });
        }
        let new = alive.iter().filter(|info| !status.members.contains(info.instance));
        events.extend(new.map(|info| Event::AddLearner { instance: info.instance }));
        events.extend(self.change_of_voters(status, alive));
        events
    }

    /// Promotes a learner while there are too few voters. A voter that drains is replaced in two
    /// changes: a learner is promoted, then the voter becomes a learner.
    fn change_of_voters(&self, status: &Status, alive: &[InstanceInfo]) -> Option<Event> {
        let mut draining = alive.iter().filter(|info| info.draining).map(|info| info.instance);
        let draining = draining.find(|id| status.members.is_voter(*id));
        let wanted = self.voters + usize::from(draining.is_some());
        if status.members.voters.len() < wanted {
            let instance = learner_to_promote(status, alive)?;
            return Some(Event::Promote { instance });
        }
        draining.map(|instance| Event::Demote { instance })
    }
}

/// Whether an instance that drains may exit: it is no voter, or no standby can take its place.
pub fn can_leave(status: &Status, me: InstanceId, alive: &[InstanceInfo]) -> bool {
    let waits_for_commit = status.role == Role::Leader && !status.members.is_voter(me);
    !waits_for_commit
        && (!status.members.is_voter(me) || learner_to_promote(status, alive).is_none())
}

/// The learner to promote: one with a disk, in the data centre with the fewest voters.
fn learner_to_promote(status: &Status, alive: &[InstanceInfo]) -> Option<InstanceId> {
    let centre_of = |member: &InstanceId| {
        alive.iter().find(|info| info.instance == *member).map(|info| &info.centre)
    };
    let voters_in = |centre: &DataCentre| {
        let voters = status.members.voters.iter();
        voters.filter_map(centre_of).filter(|there| *there == centre).count()
    };
    alive
        .iter()
        .filter(|info| info.disk && !info.draining)
        .filter(|info| status.members.learners.contains(&info.instance))
        .min_by_key(|info| (voters_in(&info.centre), info.instance))
        .map(|info| info.instance)
}
