//! Controllers that are told to stop.

use std::time::Duration;

use hickorylink_lib::jobs::{controller::Event, hello::Hello, record::Node};

use crate::{
    deployment::{Deployment, VOTERS},
    world::node,
};

/// Longer than a handover takes, and shorter than the time that a controller waits for it at most.
const HANDOVER_TIME: Duration = Duration::from_millis(900);

// Guards against a shutdown that leaves a vote behind, and against one that waits for nobody.
#[test]
fn a_controller_stops_once_it_is_replaced_or_nobody_can_replace_it() {
    struct Case {
        name: &'static str,
        hosts: u8,
        /// How many voters are told to stop; the leader is the last of them.
        stopped: usize,
        /// Whether the standbys are told to stop, too.
        all: bool,
        /// Whether the first of them still votes then.
        votes: bool,
    }
    let cases = [
        Case { name: "with a standby", hosts: 6, stopped: 1, all: false, votes: false },
        Case { name: "without a standby", hosts: 5, stopped: 1, all: false, votes: true },
        Case { name: "all at once", hosts: 6, stopped: VOTERS, all: true, votes: true },
    ];
    for case in cases {
        let mut deployment = Deployment::new(case.hosts, 1);
        let leader = deployment.leader().expect("a leader");
        let mut voters = deployment.live_voters();
        voters.sort_by_key(|host| *host == leader);
        let standbys: Vec<u8> =
            deployment.running().into_iter().filter(|host| !voters.contains(host)).collect();
        for host in standbys.iter().filter(|_| case.all).chain(voters.iter().take(case.stopped)) {
            deployment.shut_down(*host);
        }
        deployment.advance(HANDOVER_TIME);
        assert_eq!(deployment.votes_at_stop(voters[0]), Some(case.votes), "{}", case.name);
    }
}

// Guards against a leader that takes itself for replaced by a controller that is gone.
#[test]
fn a_late_hello_from_the_own_address_is_ignored() {
    let mut deployment = Deployment::new(5, 1);
    let leader = deployment.leader().expect("a leader");
    let former = Node { centre: "akl-a".into(), ..node(99, leader) };
    let hello = Hello { node: former, known: Vec::new(), leaving: false };
    deployment.receive(leader, Event::Hello(hello));
    deployment.advance(Duration::from_secs(4));
    assert_eq!(deployment.leader(), Some(leader));
    assert_eq!(deployment.check(), Ok(()));
}
