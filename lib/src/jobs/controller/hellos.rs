//! The exchange of hellos with the other controllers, and what gateways are told of them.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use crate::{
    jobs::{
        controller::{Controller, Effect, handover::Shutdown},
        hello::Hello,
        link::{ControllerStatus, LinkMessage},
    },
    time::Time,
};

/// The interval between two hellos to the other controllers.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two hellos of a controller that shuts down. The leader must learn of it soon,
/// and a hello may be lost.
const LAST_HELLO_INTERVAL: Duration = Duration::from_millis(250);

impl Controller {
    /// Learns from a hello who is there.
    pub(super) fn receive_hello(&mut self, now: Time, hello: &Hello, out: &mut Vec<Effect>) {
        let (node, me) = (&hello.node, &self.config.me);
        if node.peer == me.peer && node.id != me.id {
            // A controller that was at this address before, with another disk, is gone.
            return;
        }
        self.addresses.insert(node.id, node.peer);
        self.membership.record_hello(now, node);
        self.membership.set_leaving(node.id, hello.leaving);
        let new = self.contacts.record_hello(now, node.peer, &hello.known);
        if !new.is_empty() {
            self.next_hello = now;
        }
        Self::report_heard(node.peer, &new, out);
        if let Some(leader) = &mut self.leader {
            leader.record_node(now, node);
        }
    }

    /// Sends a hello to all other known controllers.
    pub(super) fn send_hellos(&mut self, now: Time, out: &mut Vec<Effect>) {
        let interval = match self.shutdown {
            Shutdown::None => HELLO_INTERVAL,
            Shutdown::HandingOver | Shutdown::Done => LAST_HELLO_INTERVAL,
        };
        self.next_hello = now + interval;
        let known = self.contacts.live(now).collect();
        let leaving = self.shutdown != Shutdown::None;
        let hello = Hello { node: self.config.me.clone(), known, leaving };
        for to in self.contacts.recipients(now, self.member_peers()) {
            out.push(Effect::Send { to, message: LinkMessage::Hello(hello.clone()) });
        }
    }

    /// The peer addresses of the members of the consensus group.
    pub(super) fn member_peers(&self) -> Vec<SocketAddr> {
        let members = self.consensus.status().members;
        members.all().filter_map(|id| self.addresses.get(&id).copied()).collect()
    }

    /// The answer to a gateway's probe.
    pub(super) fn probe_status(&self, now: Time) -> ControllerStatus {
        let mut controllers: BTreeSet<_> = self.member_peers().into_iter().collect();
        controllers.extend(self.contacts.live(now));
        controllers.insert(self.config.me.peer);
        ControllerStatus {
            leads: self.leads(now),
            configured: self.committed.config.is_some(),
            leader: self.leader_node().map(|node| node.peer),
            controllers: controllers.into_iter().collect(),
        }
    }
}
