//! The faults of the simulation, and the checks after all faults have ended.

use hickorylink_lib::{
    consensus::{Consensus, port::Event},
    ids::{Index, InstanceId},
};

use crate::{
    disk::Disk,
    simulation::{Network, Simulation},
};

impl Simulation {
    /// Crashes a member; unsynced writes are lost.
    pub(crate) fn crash(&mut self, at: InstanceId) {
        if let Some(member) = self.members.get_mut(&at) {
            member.machine = None;
            member.generation += 1;
            member.paused = false;
            member.unsynced.clear();
            member.inbox.clear();
        }
    }

    pub(super) fn restart(&mut self, at: InstanceId) {
        let Some(member) = self.members.get(&at) else { return };
        if member.machine.is_none() && !self.lost_disks.contains(&at) {
            let (disk, generation) = (member.disk.clone(), member.generation);
            self.start(at, disk, generation);
        }
    }

    /// Destroys a member and its disk, and starts a new instance in its place.
    pub(crate) fn lose_disk(&mut self, at: InstanceId) -> InstanceId {
        self.crash(at);
        self.lost_disks.insert(at);
        self.join()
    }

    /// Whether the members are committed, their number of voters is odd, and every voter still has
    /// its disk.
    pub(crate) fn has_all_disks(&self) -> bool {
        let Some(status) = self.leader().and_then(|id| self.machine(id)).map(Consensus::status)
        else {
            return false;
        };
        self.invariants.members() == Some(&status.members)
            && status.members.voters.len() % 2 == 1
            && status.members.voters.iter().all(|voter| !self.lost_disks.contains(voter))
    }

    /// Starts a new instance that no leader has contacted yet.
    pub(crate) fn join(&mut self) -> InstanceId {
        let id = InstanceId(self.members.keys().next_back().map_or(1, |last| last.0 + 1));
        let bootstrap = std::mem::take(&mut self.bootstrap);
        self.start(id, Disk::default(), 0);
        self.bootstrap = bootstrap;
        id
    }

    pub(crate) fn add_learner(&mut self, leader: InstanceId, instance: InstanceId) {
        self.feed(leader, Event::AddLearner { instance });
    }

    pub(crate) fn pause(&mut self, at: InstanceId) {
        if let Some(member) = self.members.get_mut(&at) {
            member.paused = true;
        }
    }

    /// Resumes a paused member. It gets a read first, which it must not answer from its stale
    /// state.
    pub(super) fn resume(&mut self, at: InstanceId) {
        let Some(member) = self.members.get_mut(&at) else { return };
        member.paused = false;
        let inbox = std::mem::take(&mut member.inbox);
        self.read(at);
        for event in inbox {
            self.feed(at, event);
        }
    }

    /// Partitions one side of the members from the other.
    pub(crate) fn partition(&mut self, side: &[InstanceId]) {
        for a in self.ids() {
            for b in self.ids() {
                if side.contains(&a) != side.contains(&b) {
                    self.partitions.insert((a, b));
                }
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Ends all faults except lost disks, and checks that the group makes progress and that no
    /// acknowledged entry is missing.
    pub(crate) fn recover_and_check(&mut self) {
        self.network = Network { loss_percent: 0, duplicate_percent: 0, max_delay_micros: 2_000 };
        self.heal();
        for id in self.ids() {
            self.restart(id);
            if self.members.get(&id).is_some_and(|member| member.paused) {
                self.resume(id);
            }
        }
        self.run_for(6_000);
        let Some(leader) = self.leader() else {
            self.invariants.fail("no leader after all faults have ended".to_owned());
            return;
        };
        let ticket = self.propose(leader);
        self.run_for(1_000);
        if !self.invariants.is_acked(ticket) {
            self.invariants.fail("a proposal to a healthy group isn't committed".to_owned());
        }
        self.check_convergence(leader);
    }

    fn check_convergence(&mut self, leader: InstanceId) {
        let Some(status) = self.machine(leader).map(Consensus::status) else { return };
        let newest = self.invariants.newest_ack();
        for id in status.members.all() {
            let applied = self.members.get(&id).map_or(Index(0), |member| member.replica.applied);
            if !self.lost_disks.contains(&id) && applied < newest {
                let missing = format!("{id}: applied {applied}, but {newest} was acknowledged");
                self.invariants.fail(missing);
            }
        }
    }
}
