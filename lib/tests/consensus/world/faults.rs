//! What may go wrong in a world, and what must hold once it is over.

use hickorylink_lib::{
    consensus::{Consensus, port::Event},
    ids::{Index, InstanceId},
};

use crate::{
    disk::Disk,
    world::{Network, World},
};

impl World {
    /// Stops a member; what wasn't synced is gone.
    pub(crate) fn crash(&mut self, at: InstanceId) {
        if let Some(member) = self.members.get_mut(&at) {
            member.machine = None;
            member.life += 1;
            member.frozen = false;
            member.unsynced.clear();
            member.inbox.clear();
        }
    }

    pub(super) fn restart(&mut self, at: InstanceId) {
        let Some(member) = self.members.get(&at) else { return };
        if member.machine.is_none() && !self.lost.contains(&at) {
            let (disk, life) = (member.disk.clone(), member.life);
            self.start(at, disk, life);
        }
    }

    /// Destroys a member with its disk and brings up a new identity in its stead.
    pub(crate) fn lose_disk(&mut self, at: InstanceId) -> InstanceId {
        self.crash(at);
        self.lost.insert(at);
        self.join()
    }

    /// Whether every voter in force still has its disk.
    pub(crate) fn is_whole(&self) -> bool {
        let Some(status) = self.leader().and_then(|id| self.machine(id)).map(Consensus::status)
        else {
            return false;
        };
        self.promises.members() == Some(&status.members)
            && status.members.voters.len() % 2 == 1
            && status.members.voters.iter().all(|voter| !self.lost.contains(voter))
    }

    /// Starts a new instance that has yet to be contacted.
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

    pub(crate) fn freeze(&mut self, at: InstanceId) {
        if let Some(member) = self.members.get_mut(&at) {
            member.frozen = true;
        }
    }

    /// A frozen member goes on where it stood: it is asked for a read before it hears anything.
    pub(super) fn thaw(&mut self, at: InstanceId) {
        let Some(member) = self.members.get_mut(&at) else { return };
        member.frozen = false;
        let inbox = std::mem::take(&mut member.inbox);
        self.read(at);
        for event in inbox {
            self.feed(at, event);
        }
    }

    /// Cuts one side off from the other.
    pub(crate) fn cut(&mut self, side: &[InstanceId]) {
        for a in self.ids() {
            for b in self.ids() {
                if side.contains(&a) != side.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Brings everything back up but the lost, and checks that nothing acknowledged is missing.
    pub(crate) fn settle(&mut self) {
        self.network = Network { lost: 0, repeated: 0, slowest: 2_000 };
        self.heal();
        for id in self.ids() {
            self.restart(id);
            if self.members.get(&id).is_some_and(|member| member.frozen) {
                self.thaw(id);
            }
        }
        self.run_for(6_000);
        let Some(leader) = self.leader() else {
            self.promises.fail("nobody leads after all faults are over".to_owned());
            return;
        };
        let ticket = self.propose(leader);
        self.run_for(1_000);
        if !self.promises.is_acked(ticket) {
            self.promises.fail("a proposal to a healthy council isn't committed".to_owned());
        }
        self.check_convergence(leader);
    }

    fn check_convergence(&mut self, leader: InstanceId) {
        let Some(status) = self.machine(leader).map(Consensus::status) else { return };
        let newest = self.promises.newest_ack();
        for id in status.members.all() {
            let applied = self.members.get(&id).map_or(Index(0), |member| member.replica.applied);
            if !self.lost.contains(&id) && applied < newest {
                let missing = format!("{id}: has applied {applied}, {newest} was acknowledged");
                self.promises.fail(missing);
            }
        }
    }
}
