//! The rules of one member, as tables of cases.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        chart::{self, Role},
        log::{Entry, Members, Payload},
        message::Body,
        port::{Effect, Event},
    },
    ids::{Index, InstanceId, Term, Ticket},
};

use crate::solo::{ELECTION_MS, ME, Solo, log, members, writes};

fn heartbeat(commit: u64, round: u64) -> Body {
    let (previous, previous_term, entries) = (Index(0), Term(0), Vec::new());
    Body::Append { previous, previous_term, entries, commit: Index(commit), round }
}

#[test]
fn the_chart_is_whole() {
    if let Err(findings) = chart::parse() {
        panic!("{findings}");
    }
}

#[test]
fn a_vote_is_given_once_in_a_term_and_leaves_after_the_sync() {
    struct Case {
        name: &'static str,
        last: u64,
        last_term: u64,
        before: Option<u64>,
        want: bool,
    }
    let cases = [
        Case { name: "the same log", last: 3, last_term: 2, before: None, want: true },
        Case { name: "a longer log", last: 4, last_term: 2, before: None, want: true },
        Case { name: "a newer last term", last: 1, last_term: 3, before: None, want: true },
        Case { name: "a shorter log", last: 2, last_term: 2, before: None, want: false },
        Case { name: "an older last term", last: 9, last_term: 1, before: None, want: false },
        Case {
            name: "a vote given to another",
            last: 3,
            last_term: 2,
            before: Some(3),
            want: false,
        },
        Case { name: "asked again", last: 3, last_term: 2, before: Some(2), want: true },
    ];
    for case in cases {
        let mut solo = Solo::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
        if let Some(before) = case.before {
            solo.hear(before, 5, Body::Vote { last: Index(9), last_term: Term(4) });
            solo.sync();
            solo.take();
        }
        let (last, last_term) = (Index(case.last), Term(case.last_term));
        solo.hear(2, 5, Body::Vote { last, last_term });
        if case.before.is_none() {
            assert_eq!(solo.sent(), [], "{}: before the sync", case.name);
        }
        solo.sync();
        let want = (InstanceId(2), Body::VoteAnswer { granted: case.want });
        assert_eq!(solo.sent(), [want], "{}", case.name);
        assert_eq!(solo.status().term, Term(5), "{}", case.name);
    }
}

#[test]
fn a_pre_vote_changes_nothing_and_protects_a_leader_that_is_heard() {
    struct Case {
        name: &'static str,
        term: u64,
        last: u64,
        heard: Option<u64>,
        want: bool,
    }
    let cases = [
        Case { name: "no leader", term: 3, last: 3, heard: None, want: true },
        Case { name: "a leader heard now", term: 3, last: 3, heard: Some(0), want: false },
        Case {
            name: "a leader long silent",
            term: 3,
            last: 3,
            heard: Some(ELECTION_MS),
            want: true,
        },
        Case { name: "a shorter log", term: 3, last: 2, heard: None, want: false },
        Case { name: "no newer term", term: 2, last: 3, heard: None, want: false },
        Case { name: "an older term", term: 1, last: 3, heard: None, want: false },
    ];
    for case in cases {
        let mut solo = Solo::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
        if let Some(silence) = case.heard {
            solo.hear(3, 2, heartbeat(0, 1));
            solo.wait(silence);
        }
        solo.take();
        let (last, last_term) = (Index(case.last), Term(2));
        solo.hear(2, case.term, Body::PreVote { last, last_term });
        let want = (InstanceId(2), Body::PreVoteAnswer { granted: case.want });
        assert_eq!(solo.sent(), [want], "{}", case.name);
        assert_eq!(solo.status().term, Term(2), "{}", case.name);
    }
}

#[test]
fn a_member_that_is_cut_off_opens_no_term() {
    let mut solo = Solo::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
    for _ in 0..10 {
        solo.now = solo.machine.next_deadline().expect("an election timeout");
        solo.feed(Event::Timer);
        solo.sync();
    }
    assert_eq!((solo.status().role, solo.status().term), (Role::PreCandidate, Term(2)));
}

#[test]
fn entries_replace_those_that_conflict() {
    struct Case {
        name: &'static str,
        previous: (u64, u64),
        terms: &'static [u64],
        commit: u64,
        /// The answer once everything is synced: matched, rejected.
        want: (u64, bool),
        truncate: Option<u64>,
        last: u64,
    }
    let cases = [
        Case {
            name: "a heartbeat",
            previous: (3, 2),
            terms: &[],
            commit: 0,
            want: (3, false),
            truncate: None,
            last: 3,
        },
        Case {
            name: "more entries",
            previous: (3, 2),
            terms: &[3, 3],
            commit: 0,
            want: (5, false),
            truncate: None,
            last: 5,
        },
        Case {
            name: "known entries",
            previous: (1, 1),
            terms: &[1, 2],
            commit: 0,
            want: (3, false),
            truncate: None,
            last: 3,
        },
        Case {
            name: "a conflict",
            previous: (1, 1),
            terms: &[3],
            commit: 0,
            want: (2, false),
            truncate: Some(2),
            last: 2,
        },
        Case {
            name: "a conflict at the end",
            previous: (2, 1),
            terms: &[3, 3],
            commit: 0,
            want: (4, false),
            truncate: Some(3),
            last: 4,
        },
        Case {
            name: "a gap",
            previous: (5, 3),
            terms: &[3],
            commit: 0,
            want: (3, true),
            truncate: None,
            last: 3,
        },
        Case {
            name: "another term before",
            previous: (3, 3),
            terms: &[3],
            commit: 0,
            want: (2, true),
            truncate: None,
            last: 3,
        },
        Case {
            name: "a known prefix only",
            previous: (0, 0),
            terms: &[1],
            commit: 0,
            want: (1, false),
            truncate: None,
            last: 3,
        },
    ];
    for case in cases {
        let all = members(&[1, 2, 3], &[]);
        let mut solo = Solo::new(&all, &[1, 1, 2]);
        let (previous, previous_term) = (Index(case.previous.0), Term(case.previous.1));
        let mut terms = vec![0; usize::try_from(previous.0).expect("few entries")];
        terms.extend_from_slice(case.terms);
        let entries = log(&all, &terms).split_off(terms.len() - case.terms.len());
        let commit = Index(case.commit);
        solo.hear(2, 3, Body::Append { previous, previous_term, entries, commit, round: 7 });
        solo.sync();
        let effects = solo.take();
        let truncate: Vec<_> = writes(&effects).iter().filter_map(|w| w.truncate).collect();
        let want = case.truncate.map(Index);
        assert_eq!(truncate, want.into_iter().collect::<Vec<_>>(), "{}", case.name);
        let (matched, rejected) = (Index(case.want.0), case.want.1);
        let answer = Body::AppendAnswer { matched, rejected, round: 7 };
        let said = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Send { message, .. } if message.body == answer));
        assert!(said, "{}: {effects:?}", case.name);
        assert_eq!(solo.status().last, Index(case.last), "{}", case.name);
    }
}

#[test]
fn entries_are_acknowledged_after_the_sync() {
    let all = members(&[1, 2, 3], &[]);
    let mut solo = Solo::new(&all, &[1]);
    solo.hear(2, 1, heartbeat(0, 1));
    solo.take();
    let entries = log(&all, &[1, 1]).split_off(1);
    let (previous, previous_term, commit) = (Index(1), Term(1), Index(0));
    solo.hear(2, 1, Body::Append { previous, previous_term, entries, commit, round: 1 });
    assert_eq!(solo.sent(), [], "nothing is acknowledged yet");
    solo.hear(2, 1, heartbeat(0, 2));
    let unsynced = Body::AppendAnswer { matched: Index(1), rejected: false, round: 2 };
    assert_eq!(solo.sent(), [(InstanceId(2), unsynced)], "a heartbeat doesn't wait for the disk");
    solo.sync();
    let synced = Body::AppendAnswer { matched: Index(2), rejected: false, round: 2 };
    assert_eq!(solo.sent(), [(InstanceId(2), synced)]);
}

#[test]
fn members_of_a_truncated_entry_are_taken_back() {
    let all = members(&[1, 2, 3], &[]);
    let mut solo = Solo::new(&all, &[1, 1]);
    let append = |previous, term, payload| Body::Append {
        previous: Index(previous),
        previous_term: Term(1),
        entries: vec![Entry { index: Index(previous + 1), term: Term(term), payload }],
        commit: Index(0),
        round: 1,
    };
    let fewer = members(&[2, 3], &[]);
    solo.hear(2, 2, append(2, 2, Payload::Members(fewer.clone())));
    assert_eq!((solo.status().members, solo.status().role), (fewer, Role::Learner));
    solo.hear(3, 3, append(2, 3, Payload::Empty));
    assert_eq!((solo.status().members, solo.status().role), (all, Role::Follower));
}

#[test]
fn a_leader_steps_down_without_a_quorum() {
    struct Case {
        name: &'static str,
        voters: &'static [u64],
        /// Who goes on answering.
        heard: &'static [u64],
        want: Role,
    }
    let cases = [
        Case { name: "all heard", voters: &[1, 2, 3], heard: &[2, 3], want: Role::Leader },
        Case { name: "one heard", voters: &[1, 2, 3], heard: &[2], want: Role::Leader },
        Case { name: "none heard", voters: &[1, 2, 3], heard: &[], want: Role::Follower },
        Case {
            name: "one of four heard",
            voters: &[1, 2, 3, 4, 5],
            heard: &[2],
            want: Role::Follower,
        },
        Case { name: "alone", voters: &[1], heard: &[], want: Role::Leader },
    ];
    for case in cases {
        let mut solo = Solo::leader(&members(case.voters, &[]));
        for _ in 0..10 {
            solo.wait(50);
            for from in case.heard {
                solo.acknowledge_as(*from, 1, 1);
            }
            solo.feed(Event::Timer);
        }
        assert_eq!(solo.status().role, case.want, "{}", case.name);
    }
}

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
fn a_snapshot_goes_on_where_it_was_cut_off() {
    let all = members(&[2, 3], &[1]);
    let mut solo = Solo::new(&all, &[]);
    let state = Bytes::from_static(b"0123456789");
    let chunk = |from: usize, to: usize| Body::SnapshotChunk {
        index: Index(50),
        index_term: Term(3),
        members: all.clone(),
        offset: from as u64,
        total: state.len() as u64,
        part: state.slice(from..to),
    };
    struct Case {
        name: &'static str,
        part: (usize, usize),
        received: u64,
    }
    let cases = [
        Case { name: "the first part", part: (0, 4), received: 4 },
        Case { name: "a part too early", part: (8, 10), received: 4 },
        Case { name: "a part again", part: (0, 4), received: 4 },
        Case { name: "the next part", part: (4, 8), received: 8 },
    ];
    for case in cases {
        solo.hear(2, 3, chunk(case.part.0, case.part.1));
        solo.sync();
        let received = case.received;
        let want = (InstanceId(2), Body::SnapshotAnswer { index: Index(50), received });
        assert_eq!(solo.sent(), [want], "{}", case.name);
    }
    solo.hear(2, 3, chunk(8, 10));
    let effects = solo.take();
    let whole = effects.iter().any(|effect| {
        matches!(effect, Effect::Restore(snapshot)
            if snapshot.state == state && snapshot.index == Index(50))
    });
    assert!(whole, "{effects:?}");
    solo.sync();
    let synced = Body::AppendAnswer { matched: Index(50), rejected: false, round: 0 };
    assert_eq!(solo.sent(), [(InstanceId(2), synced)]);
}
