//! Recovery of a controller after a restart, and replacement of voters.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        log::{Entry, HardState, Members, Payload, Recovered},
        port::{Event as ConsensusEvent, Status},
    },
    ids::{Index, InstanceId, Term},
    jobs::{
        controller::{Controller, Effect, Event},
        estimates::EstimateRecord,
        link::LinkMessage,
        members::Membership,
        record::{Batch, Record},
        state::State,
    },
    time::{Time, WallTime},
};

use crate::world::{config, job_config, node};

/// The log of the first of three controllers, which knows the others only from the log.
fn recovered() -> Recovered {
    let nodes = [node(1, 1), node(2, 2), node(3, 3)];
    let voters = nodes.iter().map(|node| node.id).collect();
    let records = nodes.into_iter().map(Record::Node).collect();
    let batch = Batch {
        origin: InstanceId(1),
        number: 1,
        records,
        crashes: Vec::new(),
        evacuations: Vec::new(),
        estimates: EstimateRecord::default(),
        cancels: Vec::new(),
    };
    let bytes = postcard::to_allocvec(&batch).expect("a batch can be encoded");
    let members = Members { voters, learners: Vec::new() };
    let entry = |index, payload| Entry { index: Index(index), term: Term(1), payload };
    Recovered {
        hard: HardState { term: Term(1), vote: None },
        snapshot: None,
        entries: vec![
            entry(1, Payload::Members(members)),
            entry(2, Payload::Command(Bytes::from(bytes))),
        ],
    }
}

fn sent_messages(until: Time) -> Vec<(std::net::SocketAddr, LinkMessage)> {
    let now = Time::from_millis(1);
    let controller = Controller::new(config(node(1, 1), Vec::new()), recovered(), now);
    let mut controller = controller.expect("there is no snapshot to decode");
    let (mut now, mut sent) = (now, Vec::new());
    while now < until {
        now = now + Duration::from_millis(20);
        let mut events = vec![Event::Timer];
        while !events.is_empty() {
            let mut out = Vec::new();
            controller.handle(now, WallTime(1), events.drain(..), &mut out);
            for effect in out {
                match effect {
                    Effect::Store(write) => {
                        events.push(Event::Stored { sequence: write.sequence });
                    }
                    Effect::Send { to, message } => sent.push((to, message)),
                    Effect::Answer { .. } | Effect::MayStop { .. } | Effect::LogEvent(_) => {}
                }
            }
        }
    }
    sent
}

#[test]
fn restarted_controllers_find_each_other_from_their_logs() {
    let sent = sent_messages(Time::from_millis(3000));
    for other in [node(2, 2), node(3, 3)] {
        let asked = sent.iter().any(|(to, message)| {
            *to == other.peer && matches!(message, LinkMessage::Consensus { .. })
        });
        assert!(asked, "controller {} receives a consensus message", other.id);
    }
}

#[test]
fn an_older_configuration_in_the_log_changes_nothing() {
    struct Case {
        name: &'static str,
        versions: &'static [u64],
        want: u64,
    }
    let cases = [
        Case { name: "rising", versions: &[4, 5], want: 5 },
        Case { name: "falling", versions: &[5, 4], want: 5 },
        Case { name: "the same again", versions: &[5, 5], want: 5 },
    ];
    for case in cases {
        let (mut state, mut changes) = (State::default(), Vec::new());
        for version in case.versions {
            state.apply(&Record::Configure(job_config(*version)), &mut changes);
        }
        let version = state.config.as_ref().map(|config| config.version);
        assert_eq!(version, Some(case.want), "{}", case.name);
    }
}

#[test]
fn a_restarted_controller_does_not_campaign_at_once() {
    let sent = sent_messages(Time::from_millis(800));
    assert!(sent.iter().all(|(_, message)| matches!(message, LinkMessage::Hello(_))));
}

#[test]
fn a_new_controller_at_the_address_of_a_voter_replaces_it_at_once() {
    struct Case {
        name: &'static str,
        host: u8,
        want: bool,
    }
    let cases = [
        Case { name: "at the address of the voter", host: 3, want: true },
        Case { name: "at another address", host: 4, want: false },
    ];
    for case in cases {
        let (now, mut state, mut changes) = (Time::from_millis(1), State::default(), Vec::new());
        let new = node(9, case.host);
        for node in [node(1, 1), node(2, 2), node(3, 3), new.clone()] {
            state.apply(&Record::Node(node), &mut changes);
        }
        let mut membership = Membership::new(3, now);
        for node in [node(1, 1), node(2, 2), new] {
            membership.record_hello(now, &node);
        }
        let voters = vec![InstanceId(1), InstanceId(2), InstanceId(3)];
        let members = Members { voters, learners: vec![InstanceId(9)] };
        let controller = Controller::new(config(node(1, 1), Vec::new()), recovered(), now);
        let status =
            Status { members, ..controller.expect("there is no snapshot to decode").status() };
        let events = membership.tick(now, &status, &state.nodes);
        let replace = ConsensusEvent::ReplaceVoter { lost: InstanceId(3), by: InstanceId(9) };
        assert_eq!(events.contains(&replace), case.want, "{}", case.name);
    }
}

// Guards against a voter that is told to stop and counts as one until it has been silent for seconds.
#[test]
fn a_voter_that_shuts_down_is_replaced_by_a_standby() {
    struct Case {
        name: &'static str,
        voters: &'static [u64],
        learners: &'static [u64],
        /// The controllers whose hellos say that they shut down.
        leaving: &'static [u64],
        /// The controllers that have sent a hello.
        heard: &'static [u64],
        want: Option<ConsensusEvent>,
    }
    let promote = |id| Some(ConsensusEvent::Promote { instance: InstanceId(id) });
    let remove = |id| Some(ConsensusEvent::RemoveMember { instance: InstanceId(id) });
    let cases = [
        Case {
            name: "nobody shuts down",
            voters: &[1, 2, 3],
            learners: &[4],
            leaving: &[],
            heard: &[1, 2, 3, 4],
            want: None,
        },
        Case {
            name: "a standby becomes a voter first",
            voters: &[1, 2, 3],
            learners: &[4],
            leaving: &[3],
            heard: &[1, 2, 3, 4],
            want: promote(4),
        },
        Case {
            name: "then the voter is removed",
            voters: &[1, 2, 3, 4],
            learners: &[],
            leaving: &[3],
            heard: &[1, 2, 3, 4],
            want: remove(3),
        },
        Case {
            name: "also while another voter isn't heard yet: three of four or two of three are a quorum",
            voters: &[1, 2, 3, 4],
            learners: &[],
            leaving: &[3],
            heard: &[1, 3, 4],
            want: remove(3),
        },
        Case {
            name: "there is no standby",
            voters: &[1, 2, 3],
            learners: &[],
            leaving: &[3],
            heard: &[1, 2, 3],
            want: None,
        },
        Case {
            name: "the standby shuts down, too",
            voters: &[1, 2, 3],
            learners: &[4],
            leaving: &[3, 4],
            heard: &[1, 2, 3, 4],
            want: None,
        },
    ];
    let ids = |ids: &[u64]| ids.iter().map(|id| InstanceId(*id)).collect::<Vec<_>>();
    for case in cases {
        let (now, mut state, mut changes) = (Time::from_millis(1), State::default(), Vec::new());
        for (id, host) in [(1, 1), (2, 2), (3, 3), (4, 4)] {
            state.apply(&Record::Node(node(id, host)), &mut changes);
        }
        let mut membership = Membership::new(3, now);
        for id in ids(case.heard) {
            membership.record_hello(now, &state.nodes[&id]);
            membership.set_leaving(id, case.leaving.contains(&id.0));
        }
        let members = Members { voters: ids(case.voters), learners: ids(case.learners) };
        let controller = Controller::new(config(node(1, 1), Vec::new()), recovered(), now);
        let status =
            Status { members, ..controller.expect("there is no snapshot to decode").status() };
        let events = membership.tick(now, &status, &state.nodes);
        let got =
            events.into_iter().find(|event| !matches!(event, ConsensusEvent::Standbys { .. }));
        assert_eq!(got, case.want, "{}", case.name);
    }
}

// Guards against a deployment that waits for a lost voter from each election on.
#[test]
fn a_voter_that_was_silent_before_the_election_is_replaced_at_once() {
    struct Case {
        name: &'static str,
        /// When the voter was last heard; `None` if it never was.
        heard: Option<u64>,
        /// When the leader begins to lead.
        elected: u64,
        want: bool,
    }
    let cases = [
        Case { name: "silent for long", heard: Some(1000), elected: 4000, want: true },
        Case { name: "silent for a while", heard: Some(2000), elected: 4000, want: false },
        Case { name: "never heard", heard: None, elected: 4000, want: true },
        Case { name: "not heard yet", heard: None, elected: 2000, want: false },
    ];
    for case in cases {
        let (start, now) = (Time::from_millis(0), Time::from_millis(case.elected));
        let (mut state, mut changes) = (State::default(), Vec::new());
        let mut membership = Membership::new(3, start);
        for node in [node(1, 1), node(2, 2), node(4, 4)] {
            membership.record_hello(now, &node);
            state.apply(&Record::Node(node), &mut changes);
        }
        if let Some(heard) = case.heard {
            membership.record_hello(Time::from_millis(heard), &node(3, 3));
        }
        let voters = vec![InstanceId(1), InstanceId(2), InstanceId(3)];
        let members = Members { voters, learners: vec![InstanceId(4)] };
        let controller = Controller::new(config(node(1, 1), Vec::new()), recovered(), start);
        let status =
            Status { members, ..controller.expect("there is no snapshot to decode").status() };
        let events = membership.tick(now, &status, &state.nodes);
        let promote = ConsensusEvent::Promote { instance: InstanceId(4) };
        assert_eq!(events.contains(&promote), case.want, "{}", case.name);
    }
}

// Guards against a controller that was replaced as it shut down and is added again before it is gone.
#[test]
fn a_controller_that_shuts_down_is_not_added() {
    let (now, mut membership) = (Time::from_millis(1), Membership::new(3, Time::from_millis(1)));
    membership.record_hello(now, &node(9, 9));
    membership.set_leaving(InstanceId(9), true);
    let controller = Controller::new(config(node(1, 1), Vec::new()), recovered(), now);
    let status = controller.expect("there is no snapshot to decode").status();
    let events = membership.tick(now, &status, &State::default().nodes);
    assert!(!events.contains(&ConsensusEvent::AddLearner { instance: InstanceId(9) }));
}

/// Guards against a voter that is up and is replaced by the controller that was at its address before: a
/// hello of that one was held up.
#[test]
fn a_late_hello_of_a_replaced_controller_replaces_no_voter() {
    let (mut now, mut state, mut changes) = (Time::from_millis(1), State::default(), Vec::new());
    let (old, new) = (node(3, 3), node(9, 3));
    for node in [node(1, 1), node(2, 2), old.clone(), new.clone()] {
        state.apply(&Record::Node(node), &mut changes);
    }
    let mut membership = Membership::new(3, now);
    for node in [&node(1, 1), &node(2, 2), &old, &new, &old] {
        membership.record_hello(now, node);
    }
    let voters = vec![InstanceId(1), InstanceId(2), InstanceId(9)];
    for learners in [Vec::new(), vec![InstanceId(3)]] {
        let members = Members { voters: voters.clone(), learners };
        let controller = Controller::new(config(node(1, 1), Vec::new()), recovered(), now);
        let status =
            Status { members, ..controller.expect("there is no snapshot to decode").status() };
        let events = membership.tick(now, &status, &state.nodes);
        let add = ConsensusEvent::AddLearner { instance: InstanceId(3) };
        let replace = ConsensusEvent::ReplaceVoter { lost: InstanceId(9), by: InstanceId(3) };
        assert!(!events.contains(&add) && !events.contains(&replace), "{events:?}");
        now = now + Duration::from_millis(250);
    }
}
