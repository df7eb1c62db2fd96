//! The rules of a leader, as tables of cases.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        chart::Role,
        log::{Members, Payload},
        message::Body,
        port::{Effect, Event},
    },
    ids::{Index, InstanceId, Term, Ticket},
};

use crate::solo::{ELECTION_MS, ME, Solo, heartbeat, members, writes};

#[test]
fn proposals_between_syncs_share_a_write() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[]));
    for ticket in 1..=5 {
        solo.propose(ticket);
    }
    let effects = solo.take();
    let counts: Vec<_> = writes(&effects).iter().map(|write| write.entries.len()).collect();
    assert_eq!(counts, [1], "the others wait for the sync");
    let full = Effect::Rejected { ticket: Ticket(5), leader: Some(ME) };
    assert!(effects.contains(&full), "the queue is full: {effects:?}");
    solo.sync();
    let effects = solo.take();
    let counts: Vec<_> = writes(&effects).iter().map(|write| write.entries.len()).collect();
    assert_eq!(counts, [3], "one sync carries them");
}

#[test]
fn a_snapshot_being_written_holds_up_no_proposal() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[]));
    let state = Bytes::from_static(b"state");
    solo.feed(Event::Compacted { index: Index(1), state });
    solo.propose(1);
    solo.acknowledge(2);
    let status = solo.status();
    assert_eq!((status.snapshot, status.commit), (Index(1), Index(2)));
}

#[test]
fn entries_commit_when_a_quorum_has_synced_them() {
    struct Case {
        name: &'static str,
        voters: &'static [u64],
        own: bool,
        others: &'static [u64],
        want: u64,
    }
    let cases = [
        Case { name: "only the leader", voters: &[1, 2, 3], own: true, others: &[], want: 1 },
        Case { name: "only one follower", voters: &[1, 2, 3], own: false, others: &[2], want: 1 },
        Case { name: "leader and follower", voters: &[1, 2, 3], own: true, others: &[2], want: 2 },
        Case { name: "both followers", voters: &[1, 2, 3], own: false, others: &[2, 3], want: 2 },
        Case { name: "two of four", voters: &[1, 2, 3, 4], own: true, others: &[2], want: 1 },
        Case { name: "a single voter", voters: &[1], own: true, others: &[], want: 2 },
        Case { name: "a single voter, unsynced", voters: &[1], own: false, others: &[], want: 1 },
    ];
    for case in cases {
        let mut solo = Solo::leader(&members(case.voters, &[]));
        solo.propose(1);
        if case.own {
            solo.sync();
        }
        for from in case.others {
            solo.acknowledge_as(*from, 1, 2);
        }
        assert_eq!(solo.status().commit, Index(case.want), "{}", case.name);
    }
}

#[test]
fn entries_of_earlier_terms_commit_with_one_of_the_own_term() {
    struct Case {
        name: &'static str,
        matched: u64,
        want: u64,
    }
    let cases = [
        Case { name: "a quorum holds the earlier entries", matched: 3, want: 0 },
        Case { name: "a quorum holds the first entry of the term", matched: 4, want: 4 },
    ];
    for case in cases {
        let mut solo = Solo::elected(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
        solo.acknowledge_as(2, 3, case.matched);
        assert_eq!(solo.status().commit, Index(case.want), "{}", case.name);
    }
}

#[test]
fn a_read_waits_for_a_round_that_began_after_it() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[]));
    let answer = |round| Body::AppendAnswer { matched: Index(1), rejected: false, round };
    solo.feed(Event::Read { ticket: Ticket(1) });
    solo.feed(Event::Read { ticket: Ticket(2) });
    solo.take();
    solo.hear(2, 1, answer(0));
    assert!(!solo.take().contains(&Effect::ReadReady { ticket: Ticket(1), index: Index(1) }));
    solo.hear(2, 1, answer(1));
    let ready = |ticket| Effect::ReadReady { ticket: Ticket(ticket), index: Index(1) };
    let effects = solo.take();
    assert!(effects.contains(&ready(1)) && !effects.contains(&ready(2)), "{effects:?}");
    solo.hear(3, 1, answer(2));
    assert!(solo.take().contains(&ready(2)));
}

#[test]
fn a_read_elsewhere_goes_to_the_leader() {
    struct Case {
        name: &'static str,
        answer: Option<Option<u64>>,
        want: Effect,
    }
    let ticket = Ticket(9);
    let failed = Effect::ReadFailed { ticket };
    let cases = [
        Case {
            name: "answered",
            answer: Some(Some(4)),
            want: Effect::ReadReady { ticket, index: Index(4) },
        },
        Case { name: "refused", answer: Some(None), want: failed.clone() },
        Case { name: "no answer in time", answer: None, want: failed },
    ];
    for case in cases {
        let mut solo = Solo::new(&members(&[2, 3], &[1]), &[1]);
        solo.hear(2, 1, heartbeat(0, 1));
        solo.take();
        solo.feed(Event::Read { ticket });
        let asked = (InstanceId(2), Body::ReadIndex { ticket: 9 });
        assert_eq!(solo.sent(), [asked], "{}", case.name);
        match case.answer {
            Some(index) => {
                solo.hear(2, 1, Body::ReadAnswer { ticket: 9, index: index.map(Index) });
            }
            None => {
                solo.now = solo.machine.next_deadline().expect("the read's deadline");
                solo.feed(Event::Timer);
            }
        }
        assert!(solo.take().contains(&case.want), "{}", case.name);
    }
}

/// The members that a leader proposes, if it does.
fn proposed(solo: &mut Solo) -> Option<Members> {
    let effects = solo.take();
    let entries = writes(&effects).into_iter().flat_map(|write| &write.entries);
    let members = entries.filter_map(|entry| {
        let Payload::Members(members) = &entry.payload else { return None };
        Some(members.clone())
    });
    members.last()
}

#[test]
fn members_change_one_at_a_time() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[4]));
    solo.feed(Event::Promote { instance: InstanceId(4) });
    assert_eq!(proposed(&mut solo), None, "the learner hasn't caught up");
    solo.acknowledge_as(4, 1, 1);
    assert_eq!(proposed(&mut solo), Some(members(&[1, 2, 3, 4], &[])));
    solo.feed(Event::RemoveMember { instance: InstanceId(3) });
    solo.feed(Event::AddLearner { instance: InstanceId(5) });
    solo.sync();
    assert_eq!(proposed(&mut solo), None, "the first change isn't committed");
    solo.acknowledge_as(2, 1, 2);
    assert_eq!(proposed(&mut solo), None, "two of four are no quorum");
    solo.acknowledge_as(4, 1, 2);
    assert_eq!(proposed(&mut solo), Some(members(&[1, 2, 4], &[5])));
}

#[test]
fn a_silent_voter_is_replaced_by_a_standby() {
    struct Case {
        name: &'static str,
        standbys: &'static [u64],
        caught_up: bool,
        want: Members,
    }
    let cases = [
        Case {
            name: "a standby",
            standbys: &[4],
            caught_up: true,
            want: members(&[1, 2, 4], &[5]),
        },
        Case {
            name: "no disk",
            standbys: &[],
            caught_up: true,
            want: members(&[1, 2, 3], &[4, 5]),
        },
        Case {
            name: "far behind",
            standbys: &[4],
            caught_up: false,
            want: members(&[1, 2, 3], &[4, 5]),
        },
    ];
    for case in cases {
        let mut solo = Solo::leader(&members(&[1, 2, 3], &[4, 5]));
        let instances = case.standbys.iter().copied().map(InstanceId).collect();
        solo.feed(Event::Standbys { instances });
        for ticket in 1..=3 {
            solo.propose(ticket);
        }
        for _ in 0..60 {
            solo.sync();
            let last = solo.status().last.0;
            solo.wait(50);
            solo.acknowledge_as(2, 1, last);
            solo.acknowledge_as(4, 1, if case.caught_up { last } else { 0 });
            solo.acknowledge_as(5, 1, last);
            solo.feed(Event::Timer);
        }
        assert_eq!(solo.status().members, case.want, "{}", case.name);
    }
}

#[test]
fn a_learner_that_is_silent_goes() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[4, 5]));
    for _ in 0..40 {
        solo.sync();
        let last = solo.status().last.0;
        solo.wait(50);
        solo.acknowledge(last);
        solo.acknowledge_as(4, 1, last);
        solo.feed(Event::Timer);
    }
    assert_eq!(solo.status().members, members(&[1, 2, 3], &[4]));
}

#[test]
fn the_last_voter_stays() {
    let mut solo = Solo::leader(&members(&[1], &[]));
    solo.feed(Event::RemoveMember { instance: ME });
    solo.sync();
    assert_eq!(solo.status().members, members(&[1], &[]));
}

#[test]
fn a_removed_leader_leads_until_that_is_committed() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[]));
    solo.feed(Event::RemoveMember { instance: ME });
    solo.sync();
    solo.acknowledge_as(2, 1, 2);
    let status = solo.status();
    assert_eq!((status.role, status.commit), (Role::Leader, Index(1)), "it doesn't count itself");
    solo.acknowledge_as(3, 1, 2);
    let status = solo.status();
    assert_eq!((status.role, status.commit), (Role::Learner, Index(2)));
}

#[test]
fn a_new_leader_changes_no_members_before_it_has_committed() {
    let mut solo = Solo::new(&members(&[1, 2, 3], &[]), &[1, 1]);
    let (previous, previous_term, commit) = (Index(2), Term(1), Index(2));
    let entries = Vec::new();
    solo.hear(2, 1, Body::Append { previous, previous_term, entries, commit, round: 1 });
    solo.win();
    solo.take();
    solo.feed(Event::AddLearner { instance: InstanceId(4) });
    assert_eq!(proposed(&mut solo), None, "another leader's change may be under way");
    solo.acknowledge(3);
    assert_eq!(proposed(&mut solo), Some(members(&[1, 2, 3], &[4])));
}

#[test]
fn a_replacement_is_two_changes() {
    let mut solo = Solo::leader(&members(&[1, 2, 3], &[4]));
    solo.acknowledge_as(4, 1, 1);
    solo.feed(Event::ReplaceVoter { lost: InstanceId(3), by: InstanceId(4) });
    assert_eq!(proposed(&mut solo), Some(members(&[1, 2, 3, 4], &[])));
    solo.sync();
    solo.acknowledge_as(2, 1, 2);
    solo.acknowledge_as(4, 1, 2);
    assert_eq!(proposed(&mut solo), Some(members(&[1, 2, 4], &[])));
}

#[test]
fn a_lease_counts_from_the_sending_of_a_round_that_a_quorum_answered() {
    struct Case {
        name: &'static str,
        answered: &'static [u64],
        lease: Option<u64>,
    }
    let election = ELECTION_MS;
    let cases = [
        Case { name: "by nobody", answered: &[], lease: None },
        Case { name: "by one of two others", answered: &[2], lease: Some(election * 4 / 5) },
        Case { name: "by both", answered: &[2, 3], lease: Some(election * 4 / 5) },
    ];
    for case in cases {
        let mut solo = Solo::leader(&members(&[1, 2, 3], &[]));
        let term = solo.status().term;
        let before = solo.lease_until();
        // The next round is sent with the heartbeat, and answered later.
        solo.wait(election / 4);
        let sent = solo.now();
        solo.feed(Event::Timer);
        solo.wait(election / 8);
        for from in case.answered {
            let answer = Body::AppendAnswer { matched: Index(1), rejected: false, round: 1 };
            solo.hear(*from, term.0, answer);
        }
        let want = case.lease.map(|millis| sent + std::time::Duration::from_millis(millis));
        assert_eq!(solo.lease_until(), want.or(before), "{}", case.name);
    }
}

#[test]
fn a_leader_whose_disk_stalls_gives_way() {
    struct Case {
        name: &'static str,
        synced: bool,
        want: Role,
    }
    let cases = [
        Case { name: "a slow disk", synced: true, want: Role::Leader },
        Case { name: "a disk that stalls", synced: false, want: Role::Follower },
    ];
    for case in cases {
        let mut solo = Solo::leader(&members(&[1, 2, 3], &[]));
        for ticket in 0..6 {
            solo.propose(ticket);
            solo.wait(ELECTION_MS / 4);
            solo.feed(Event::Timer);
            solo.acknowledge(1);
            if case.synced {
                solo.sync();
            }
        }
        assert_eq!(solo.status().role, case.want, "{}", case.name);
        // It doesn't stand for election either, until its disk goes on.
        if !case.synced {
            solo.take();
            for _ in 0..8 {
                solo.wait(ELECTION_MS);
                solo.feed(Event::Timer);
            }
            assert_eq!(solo.sent(), [], "{}", case.name);
        }
    }
}
