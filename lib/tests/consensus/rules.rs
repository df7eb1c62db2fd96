//! The rules of followers, candidates and learners.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        chart::{self, Role},
        log::{Entry, Payload},
        message::Body,
        port::{Effect, Event},
    },
    ids::{Index, InstanceId, Term},
};

use crate::test_member::{ELECTION_MS, TestMember, heartbeat, log, members, writes};

#[test]
fn the_chart_is_valid() {
    if let Err(findings) = chart::parse() {
        panic!("{findings}");
    }
}

#[test]
fn a_vote_is_granted_once_per_term_and_sent_after_the_sync() {
    struct Case {
        name: &'static str,
        last: u64,
        last_term: u64,
        /// The candidate that asked for a vote in the same term before.
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
            name: "a vote granted to another",
            last: 3,
            last_term: 2,
            before: Some(3),
            want: false,
        },
        Case { name: "a repeated request", last: 3, last_term: 2, before: Some(2), want: true },
    ];
    for case in cases {
        let mut member = TestMember::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
        // A restarted member grants no vote within the first election timeout.
        member.advance(ELECTION_MS);
        if let Some(before) = case.before {
            member.receive(before, 5, Body::Vote { last: Index(9), last_term: Term(4) });
            member.sync();
            member.take_effects();
        }
        let (last, last_term) = (Index(case.last), Term(case.last_term));
        member.receive(2, 5, Body::Vote { last, last_term });
        if case.before.is_none() {
            assert_eq!(member.sent(), [], "{}: before the sync", case.name);
        }
        member.sync();
        let want = (InstanceId(2), Body::VoteAnswer { granted: case.want });
        assert_eq!(member.sent(), [want], "{}", case.name);
        assert_eq!(member.status().term, Term(5), "{}", case.name);
    }
}

#[test]
fn a_pre_vote_changes_no_state_and_is_refused_while_a_leader_is_heard() {
    struct Case {
        name: &'static str,
        term: u64,
        last: u64,
        /// How long ago the member last heard a leader, in milliseconds.
        heard: Option<u64>,
        want: bool,
    }
    let cases = [
        Case { name: "no leader", term: 3, last: 3, heard: None, want: true },
        Case { name: "a leader heard just now", term: 3, last: 3, heard: Some(0), want: false },
        Case {
            name: "a leader silent for an election timeout",
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
        let mut member = TestMember::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
        member.advance(ELECTION_MS);
        if let Some(silence) = case.heard {
            member.receive(3, 2, heartbeat(0, 1));
            member.advance(silence);
        }
        member.take_effects();
        let (last, last_term) = (Index(case.last), Term(2));
        member.receive(2, case.term, Body::PreVote { last, last_term });
        let want = (InstanceId(2), Body::PreVoteAnswer { granted: case.want });
        assert_eq!(member.sent(), [want], "{}", case.name);
        assert_eq!(member.status().term, Term(2), "{}", case.name);
    }
}

#[test]
fn a_restarted_member_grants_no_vote_for_an_election_timeout() {
    struct Case {
        name: &'static str,
        /// The time since the restart, in milliseconds.
        after: u64,
        want: bool,
    }
    let cases = [
        Case { name: "at once", after: 0, want: false },
        Case { name: "just before", after: ELECTION_MS - 1, want: false },
        Case { name: "after an election timeout", after: ELECTION_MS, want: true },
    ];
    for case in cases {
        let (last, last_term) = (Index(3), Term(2));
        let mut member = TestMember::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
        member.advance(case.after);
        member.receive(2, 3, Body::PreVote { last, last_term });
        let answer = (InstanceId(2), Body::PreVoteAnswer { granted: case.want });
        assert_eq!(member.sent(), [answer], "{}: a pre-vote", case.name);
        member.receive(2, 5, Body::Vote { last, last_term });
        member.sync();
        let granted = (InstanceId(2), Body::VoteAnswer { granted: true });
        assert_eq!(member.sent().contains(&granted), case.want, "{}: a vote", case.name);
    }
}

#[test]
fn a_partitioned_member_starts_no_term() {
    let mut member = TestMember::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
    for _ in 0..10 {
        member.now = member.machine.next_deadline().expect("an election timeout");
        member.feed(Event::Timer);
        member.sync();
    }
    assert_eq!((member.status().role, member.status().term), (Role::PreCandidate, Term(2)));
}

#[test]
fn entries_replace_conflicting_ones() {
    struct Case {
        name: &'static str,
        previous: (u64, u64),
        terms: &'static [u64],
        commit: u64,
        /// The answer once everything is synced, as (matched, rejected).
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
            name: "a different term before them",
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
        let mut member = TestMember::new(&all, &[1, 1, 2]);
        let (previous, previous_term) = (Index(case.previous.0), Term(case.previous.1));
        let mut terms = vec![0; usize::try_from(previous.0).expect("few entries")];
        terms.extend_from_slice(case.terms);
        let entries = log(&all, &terms).split_off(terms.len() - case.terms.len());
        let commit = Index(case.commit);
        member.receive(2, 3, Body::Append { previous, previous_term, entries, commit, round: 7 });
        member.sync();
        let effects = member.take_effects();
        let truncate: Vec<_> = writes(&effects).iter().filter_map(|w| w.truncate).collect();
        let want = case.truncate.map(Index);
        assert_eq!(truncate, want.into_iter().collect::<Vec<_>>(), "{}", case.name);
        let (matched, rejected) = (Index(case.want.0), case.want.1);
        let answer = Body::AppendAnswer { matched, rejected, round: 7 };
        let answered = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Send { message, .. } if message.body == answer));
        assert!(answered, "{}: {effects:?}", case.name);
        assert_eq!(member.status().last, Index(case.last), "{}", case.name);
    }
}

#[test]
fn entries_are_acknowledged_after_the_sync() {
    let all = members(&[1, 2, 3], &[]);
    let mut member = TestMember::new(&all, &[1]);
    member.receive(2, 1, heartbeat(0, 1));
    member.take_effects();
    let entries = log(&all, &[1, 1]).split_off(1);
    let (previous, previous_term, commit) = (Index(1), Term(1), Index(0));
    member.receive(2, 1, Body::Append { previous, previous_term, entries, commit, round: 1 });
    assert_eq!(member.sent(), [], "nothing is acknowledged before the sync");
    member.receive(2, 1, heartbeat(0, 2));
    let unsynced = Body::AppendAnswer { matched: Index(1), rejected: false, round: 2 };
    assert_eq!(member.sent(), [(InstanceId(2), unsynced)], "a heartbeat doesn't wait for the disk");
    member.sync();
    let synced = Body::AppendAnswer { matched: Index(2), rejected: false, round: 2 };
    assert_eq!(member.sent(), [(InstanceId(2), synced)]);
}

#[test]
fn an_append_of_an_older_term_confirms_no_round() {
    let mut member = TestMember::new(&members(&[1, 2, 3], &[]), &[1, 1, 2]);
    member.receive(2, 1, heartbeat(0, 44));
    let refusal = Body::AppendAnswer { matched: Index(0), rejected: true, round: 0 };
    assert_eq!(member.sent(), [(InstanceId(2), refusal)]);
}

#[test]
fn replacing_entries_are_acknowledged_after_the_sync() {
    let all = members(&[1, 2, 3], &[]);
    let mut member = TestMember::new(&all, &[1, 1, 2]);
    let entries = log(&all, &[1, 3, 3]).split_off(1);
    let (previous, previous_term, commit) = (Index(1), Term(1), Index(0));
    member.receive(2, 3, Body::Append { previous, previous_term, entries, commit, round: 1 });
    member.receive(2, 3, heartbeat(0, 2));
    member.sync();
    let answers: Vec<_> = member.sent().into_iter().map(|(_, body)| body).collect();
    let answer = |matched| Body::AppendAnswer { matched, rejected: false, round: 2 };
    assert_eq!(answers, [answer(Index(1)), answer(Index(3))], "the replaced entries don't count");
}

#[test]
fn truncating_an_entry_reverts_its_members() {
    let all = members(&[1, 2, 3], &[]);
    let mut member = TestMember::new(&all, &[1, 1]);
    let append = |previous, term, payload| Body::Append {
        previous: Index(previous),
        previous_term: Term(1),
        entries: vec![Entry { index: Index(previous + 1), term: Term(term), payload }],
        commit: Index(0),
        round: 1,
    };
    let fewer = members(&[2, 3], &[]);
    member.receive(2, 2, append(2, 2, Payload::Members(fewer.clone())));
    assert_eq!((member.status().members, member.status().role), (fewer, Role::Learner));
    member.receive(3, 3, append(2, 3, Payload::Empty));
    assert_eq!((member.status().members, member.status().role), (all, Role::Follower));
}

#[test]
fn a_leader_steps_down_without_a_quorum() {
    struct Case {
        name: &'static str,
        voters: &'static [u64],
        /// The voters that keep answering.
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
        Case { name: "a single voter", voters: &[1], heard: &[], want: Role::Leader },
    ];
    for case in cases {
        let mut member = TestMember::leader(&members(case.voters, &[]));
        for _ in 0..10 {
            member.advance(50);
            for from in case.heard {
                member.acknowledge_as(*from, 1, 1);
            }
            member.feed(Event::Timer);
        }
        assert_eq!(member.status().role, case.want, "{}", case.name);
    }
}

#[test]
fn an_interrupted_snapshot_resumes_at_its_offset() {
    let all = members(&[2, 3], &[1]);
    let mut member = TestMember::new(&all, &[]);
    let state = Bytes::from_static(b"0123456789");
    let chunk = |from: usize, to: usize| Body::SnapshotChunk {
        index: Index(50),
        index_term: Term(3),
        members: all.clone(),
        offset: from as u64,
        total: state.len() as u64,
        data: state.slice(from..to),
    };
    struct Case {
        name: &'static str,
        chunk: (usize, usize),
        received: u64,
    }
    let cases = [
        Case { name: "the first chunk", chunk: (0, 4), received: 4 },
        Case { name: "a chunk after a gap", chunk: (8, 10), received: 4 },
        Case { name: "a repeated chunk", chunk: (0, 4), received: 4 },
        Case { name: "the next chunk", chunk: (4, 8), received: 8 },
    ];
    for case in cases {
        member.receive(2, 3, chunk(case.chunk.0, case.chunk.1));
        member.sync();
        let received = case.received;
        let want = (InstanceId(2), Body::SnapshotAnswer { index: Index(50), received });
        assert_eq!(member.sent(), [want], "{}", case.name);
    }
    member.receive(2, 3, chunk(8, 10));
    let effects = member.take_effects();
    let restored = effects.iter().any(|effect| {
        matches!(effect, Effect::Restore(snapshot)
            if snapshot.state == state && snapshot.index == Index(50))
    });
    assert!(restored, "{effects:?}");
    member.sync();
    let synced = Body::AppendAnswer { matched: Index(50), rejected: false, round: 0 };
    assert_eq!(member.sent(), [(InstanceId(2), synced)]);
}
