//! Instances that come and go, and the consensus group as its leader sees it.

use std::collections::BTreeSet;

use hickorylink_lib::{
    consensus::{
        chart::Role,
        log::{Members, Recovered},
    },
    ids::InstanceId,
};

use super::{Cluster, Node, address, config};

/// The identities of a node's disks differ by this; there are fewer nodes.
const IDENTITY_STEP: u64 = 10_000;

impl Cluster {
    /// Adds an instance at a new address that is told of these instances only, and starts it.
    pub(crate) fn add(&mut self, disk: bool, seeds: &[usize], voters: usize) -> usize {
        let at = self.nodes.len();
        let mut config = config(at, voters);
        config.replicated_log.bootstrap = false;
        config.replicated_log.me.disk = disk;
        config.directory.me.disk = disk;
        config.directory.seeds = seeds.iter().copied().map(address).collect();
        self.nodes.push(Node {
            config,
            instance: None,
            generation: 0,
            disk: Recovered::default(),
            revision: 0,
        });
        self.restart(at);
        at
    }

    /// Replaces the disk of a stopped instance, which gives it a new identity.
    pub(crate) fn wipe(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.disk = Recovered::default();
        let id = InstanceId(node.config.directory.me.instance.0 + IDENTITY_STEP);
        node.config.directory.me.instance = id;
        node.config.replicated_log.me.instance = id;
        node.config.replicated_log.consensus.me = id;
        node.config.router.me = id;
    }

    /// Changes the seeds of a stopped instance.
    pub(crate) fn set_seeds(&mut self, at: usize, seeds: &[usize]) {
        self.nodes[at].config.directory.seeds = seeds.iter().copied().map(address).collect();
    }

    /// Whether an instance runs.
    pub(crate) fn is_up(&self, at: usize) -> bool {
        self.nodes[at].instance.is_some()
    }

    /// The instances that run.
    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| self.is_up(*at)).collect()
    }

    /// The instance that leads in the newest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let statuses = self.running().into_iter().map(|at| (at, self.status(at)));
        let leaders = statuses.filter(|(_, status)| status.role == Role::Leader);
        leaders.max_by_key(|(_, status)| status.term).map(|(at, _)| at)
    }

    /// The members of the group as the leader sees them; none without a leader.
    pub(crate) fn members(&self) -> Members {
        self.leader().map(|at| self.status(at).members).unwrap_or_default()
    }

    /// The voters, as the leader sees them: the positions of those that run, and the number of those
    /// that don't or have lost their disks.
    pub(crate) fn voters(&self) -> (BTreeSet<usize>, usize) {
        let voters = self.members().voters;
        let live: BTreeSet<_> = voters.iter().filter_map(|id| self.position(*id)).collect();
        let gone = voters.len() - live.len();
        (live, gone)
    }

    /// Whether the voters keep a quorum if this instance is lost.
    pub(crate) fn bears_loss_of(&self, at: usize) -> bool {
        let (mut live, gone) = self.voters();
        let quorum = (live.len() + gone) / 2 + 1;
        live.remove(&at);
        self.leader().is_some() && live.len() >= quorum
    }

    /// Whether an instance keeps its state when it restarts.
    pub(crate) fn has_disk(&self, at: usize) -> bool {
        self.nodes[at].config.directory.me.disk
    }

    /// The instances that an instance counts as alive, itself included.
    pub(crate) fn known_alive(&self, at: usize) -> BTreeSet<InstanceId> {
        let instance = self.nodes[at].instance.as_ref().expect("the instance runs");
        instance.directory.alive().iter().map(|info| info.instance).collect()
    }

    /// The identities of the running instances.
    pub(crate) fn identities(&self) -> BTreeSet<InstanceId> {
        let running = self.running().into_iter();
        running.map(|at| self.nodes[at].config.directory.me.instance).collect()
    }

    /// The position of a running instance.
    fn position(&self, id: InstanceId) -> Option<usize> {
        self.running().into_iter().find(|at| self.nodes[*at].config.directory.me.instance == id)
    }

    fn status(&self, at: usize) -> hickorylink_lib::consensus::port::Status {
        let instance = self.nodes[at].instance.as_ref().expect("the instance runs");
        instance.replicated_log.status()
    }

    /// The running instances with a disk that the leader has neither as a voter nor as a standby.
    pub(crate) fn strangers(&self) -> Vec<usize> {
        let members = self.members();
        let is_member = |at: usize| members.contains(self.nodes[at].config.directory.me.instance);
        let disks =
            self.running().into_iter().filter(|at| self.nodes[*at].config.directory.me.disk);
        disks.filter(|at| !is_member(*at)).collect()
    }
}
