//! Which voters a leader promotes and removes, with more than one of them on the move.

use hickorylink_lib::{
    consensus::{
        log::{Members, Recovered},
        port::{Event, Status},
    },
    ids::InstanceId,
    jobs::{
        controller::Controller,
        members::Membership,
        record::{Node, Record},
        state::State,
    },
    time::Time,
};

use crate::world::{config, node};

/// The data centres of the controllers 1 to 8; the first leads.
const CENTRES: [&str; 8] = ["akl-a", "akl-a", "akl-b", "akl-b", "hlz-c", "akl-a", "hlz-c", "akl-b"];

/// A group as its leader sees it.
struct Group {
    name: &'static str,
    /// How many voters are aimed at.
    target: usize,
    voters: &'static [u64],
    learners: &'static [u64],
    /// The learners that haven't caught up.
    lagging: &'static [u64],
    /// The controllers that have been silent for long.
    silent: &'static [u64],
    /// The controllers whose hellos say that they shut down.
    leaving: &'static [u64],
    want: Option<Event>,
}

const fn promote(id: u64) -> Option<Event> {
    Some(Event::Promote { instance: InstanceId(id) })
}

const fn remove(id: u64) -> Option<Event> {
    Some(Event::RemoveMember { instance: InstanceId(id) })
}

fn ids(ids: &[u64]) -> Vec<InstanceId> {
    ids.iter().copied().map(InstanceId).collect()
}

/// The change of voters that a leader asks for once all controllers are in its log.
fn change(group: &Group) -> Option<Event> {
    change_with(group, true)
}

/// The change of voters that a leader asks for; `recorded` tells whether its log has the others.
fn change_with(group: &Group, recorded: bool) -> Option<Event> {
    let (now, mut state, mut changes) = (Time::from_millis(60_000), State::default(), Vec::new());
    let mut membership = Membership::new(group.target, Time::from_millis(0));
    for (id, centre) in (1..).zip(CENTRES) {
        let node = Node { centre: centre.into(), ..node(id, u8::try_from(id).expect("a host")) };
        if !group.silent.contains(&id) {
            membership.record_hello(now, &node);
        }
        membership.set_leaving(node.id, group.leaving.contains(&id));
        if recorded {
            state.apply(&Record::Node(node), &mut changes);
        }
    }
    let controller = Controller::new(config(node(1, 1), Vec::new()), Recovered::default(), now);
    let status = controller.expect("there is no snapshot to decode").status();
    let members = Members { voters: ids(group.voters), learners: ids(group.learners) };
    let lags = |learner: &InstanceId| group.lagging.contains(&learner.0);
    let caught_up = members.learners.iter().copied().filter(|learner| !lags(learner)).collect();
    let status = Status { members, caught_up, leader: Some(InstanceId(1)), ..status };
    let wanted = |event: &Event| {
        matches!(
            event,
            Event::Promote { .. } | Event::RemoveMember { .. } | Event::ReplaceVoter { .. }
        )
    };
    membership.tick(now, &status, &state.nodes).into_iter().find(wanted)
}

// Guards against a group of even size that keeps two voters which have gone, so that a quorum needs
// each of the others.
#[test]
fn one_of_two_voters_that_have_gone_is_removed() {
    let cases = [
        Group {
            name: "two are silent",
            target: 5,
            voters: &[1, 2, 3, 4, 5, 6],
            learners: &[7],
            lagging: &[],
            silent: &[2, 3],
            leaving: &[],
            want: remove(2),
        },
        Group {
            name: "two shut down",
            target: 5,
            voters: &[1, 2, 3, 4, 5, 6],
            learners: &[7],
            lagging: &[],
            silent: &[],
            leaving: &[2, 3],
            want: remove(2),
        },
        Group {
            name: "a silent one counts for less than one that shuts down",
            target: 3,
            voters: &[1, 2, 3, 4],
            learners: &[],
            lagging: &[],
            silent: &[3],
            leaving: &[2],
            want: remove(3),
        },
        Group {
            name: "a leader that shuts down goes last, as an election follows",
            target: 5,
            voters: &[1, 2, 3, 4, 5, 6],
            learners: &[7],
            lagging: &[],
            silent: &[],
            leaving: &[1, 2],
            want: remove(2),
        },
        Group {
            name: "not without a standby in its place",
            target: 5,
            voters: &[1, 2, 3, 4, 5],
            learners: &[],
            lagging: &[],
            silent: &[2, 3],
            leaving: &[],
            want: None,
        },
    ];
    for group in cases {
        assert_eq!(change(&group), group.want, "{}", group.name);
    }
}

// Guards against a group that stays at an even size, so that neither half of a split has a quorum.
#[test]
fn a_voter_too_many_becomes_a_standby() {
    let cases = [
        Group {
            name: "where most voters are",
            target: 5,
            voters: &[1, 2, 3, 4, 5, 6],
            learners: &[],
            lagging: &[],
            silent: &[],
            leaving: &[],
            want: remove(6),
        },
        Group {
            name: "not the leader",
            target: 1,
            voters: &[1, 3],
            learners: &[],
            lagging: &[],
            silent: &[],
            leaving: &[],
            want: remove(3),
        },
        Group {
            name: "rather one that shuts down",
            target: 5,
            voters: &[1, 2, 3, 4, 5, 6],
            learners: &[],
            lagging: &[],
            silent: &[],
            leaving: &[3],
            want: remove(3),
        },
        Group {
            name: "none is too many",
            target: 5,
            voters: &[1, 2, 3, 4, 5],
            learners: &[6],
            lagging: &[],
            silent: &[],
            leaving: &[],
            want: None,
        },
    ];
    for group in cases {
        assert_eq!(change(&group), group.want, "{}", group.name);
    }
}

// Guards against voters that gather in one data centre, whose loss then is that of the quorum.
#[test]
fn a_standby_takes_the_place_of_a_voter_in_its_data_centre() {
    let cases = [
        Group {
            name: "the only one there is silent",
            target: 5,
            voters: &[1, 2, 3, 4, 5],
            learners: &[6, 7],
            lagging: &[],
            silent: &[5],
            leaving: &[],
            want: promote(7),
        },
        Group {
            name: "one shuts down, and as many are in another data centre",
            target: 5,
            voters: &[1, 2, 4, 5, 8],
            learners: &[3, 6],
            lagging: &[],
            silent: &[],
            leaving: &[2],
            want: promote(6),
        },
        Group {
            name: "one is silent, and as many are in another data centre",
            target: 5,
            voters: &[1, 4, 5, 6, 8],
            learners: &[2, 3],
            lagging: &[],
            silent: &[8],
            leaving: &[],
            want: promote(3),
        },
    ];
    for group in cases {
        assert_eq!(change(&group), group.want, "{}", group.name);
    }
}

// Guards against a new deployment whose voters gather in one data centre.
#[test]
fn the_data_centres_of_voters_that_are_not_in_the_log_yet_count() {
    let group = Group {
        name: "a new deployment",
        target: 5,
        voters: &[1, 3, 5, 6],
        learners: &[2, 4],
        lagging: &[],
        silent: &[],
        leaving: &[],
        want: promote(4),
    };
    assert_eq!(change_with(&group, false), group.want, "{}", group.name);
}

// Guards against a voter that has gone and stays, as the standby that was chosen can't catch up.
#[test]
fn a_standby_that_has_caught_up_goes_first_while_a_voter_is_missing() {
    let cases = [
        Group {
            name: "the better one lags",
            target: 5,
            voters: &[1, 2, 3, 4, 5],
            learners: &[6, 7],
            lagging: &[7],
            silent: &[5],
            leaving: &[],
            want: promote(6),
        },
        Group {
            name: "all lag",
            target: 5,
            voters: &[1, 2, 3, 4, 5],
            learners: &[6, 7],
            lagging: &[6, 7],
            silent: &[5],
            leaving: &[],
            want: promote(7),
        },
        Group {
            name: "no voter is missing, so the better one is waited for",
            target: 5,
            voters: &[1, 2, 3, 4],
            learners: &[6, 7],
            lagging: &[7],
            silent: &[],
            leaving: &[],
            want: promote(7),
        },
    ];
    for group in cases {
        assert_eq!(change(&group), group.want, "{}", group.name);
    }
}
