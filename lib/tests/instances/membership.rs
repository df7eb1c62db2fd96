//! Who belongs to the consensus group while instances come, go and leave as planned.

use std::time::Duration;

use hickorylink_lib::{command::Reply, instance::port::Answer};

use crate::{
    SEEDS,
    cluster::{Cluster, Faults},
    edit, ready, submit,
};

/// The seeds of a roll, which takes minutes of simulated time.
const ROLL_SEEDS: std::ops::Range<u64> = 0..4;

/// How long a process that shuts down waits for another to take over its vote.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long after the last change the group may take to become whole again: a voter is replaced
/// after 30 s of silence.
pub(crate) const REPAIR_TIME: Duration = Duration::from_secs(60);

/// How long a process still runs once it has nothing to wait for.
const LINGER: Duration = Duration::from_millis(600);

/// Shuts an instance down as planned; returns how long its vote kept it.
pub(crate) fn leave(cluster: &mut Cluster, at: usize) -> Duration {
    let start = cluster.now();
    cluster.handed_over.remove(&at);
    cluster.drain(at);
    while !cluster.handed_over.contains(&at) && cluster.now().since(start) < HANDOVER_TIMEOUT {
        cluster.run(Duration::from_millis(50));
    }
    let waited = cluster.now().since(start);
    cluster.run(LINGER);
    cluster.kill(at);
    waited
}

pub(crate) fn accepts_edits(cluster: &mut Cluster, at: usize, number: u64) -> bool {
    let version = cluster.newest_version() + 1;
    submit(cluster, at, number, edit(version, number.into()));
    cluster.run(Duration::from_secs(5));
    matches!(cluster.answers.get(&number), Some(Answer::Reply(Reply::Edited { .. })))
}

// Guards against a planned leaver that stays a voter until it is silent, so that the group bears a
// loss fewer for half a minute although a standby is there.
#[test]
fn a_leaving_voter_is_replaced_by_a_standby_before_it_exits() {
    struct Case {
        name: &'static str,
        /// Whether the voter that leaves leads the group.
        leads: bool,
        standby: bool,
    }
    let cases = [
        Case { name: "a follower", leads: false, standby: true },
        Case { name: "the leader", leads: true, standby: true },
        Case { name: "a follower without a standby", leads: false, standby: false },
        Case { name: "the leader without a standby", leads: true, standby: false },
    ];
    for (case, seed) in cases.iter().flat_map(|case| SEEDS.map(move |seed| (case, seed))) {
        let name = case.name;
        let mut cluster = ready(seed, Faults::default(), 3);
        cluster.add(case.standby, &[0], 3);
        cluster.run(Duration::from_secs(5));
        let leader = cluster.leader().expect("there is a leader");
        let leaving = if case.leads { leader } else { (leader + 1) % 3 };
        let waited = leave(&mut cluster, leaving);
        assert!(waited < HANDOVER_TIMEOUT, "{name}, seed {seed}: it exits after {waited:?}");
        let at_once = waited < Duration::from_millis(100);
        assert!(at_once || case.standby, "{name}, seed {seed}: nobody to wait for: {waited:?}");
        cluster.run(Duration::from_secs(3));
        let (live, gone) = cluster.voters();
        let want = if case.standby { (3, 0) } else { (2, 1) };
        assert_eq!((live.len(), gone), want, "{name}, seed {seed}: live and gone voters");
        assert!(
            accepts_edits(&mut cluster, (leaving + 1) % 3, 200),
            "{name}, seed {seed}: the group goes on"
        );
    }
}

// Guards against a roll that leaves too few voters or gone ones.
#[test]
fn a_roll_of_all_instances_ends_with_the_wanted_voters() {
    struct Case {
        name: &'static str,
        instances: usize,
        /// How long each instance is away.
        away: Duration,
    }
    let cases = [
        Case { name: "no standby", instances: 3, away: Duration::from_secs(2) },
        Case { name: "one standby", instances: 4, away: Duration::from_secs(2) },
        Case { name: "two standbys", instances: 5, away: Duration::from_millis(200) },
        Case { name: "long restarts", instances: 5, away: Duration::from_secs(40) },
    ];
    for (case, seed) in cases.iter().flat_map(|case| ROLL_SEEDS.map(move |seed| (case, seed))) {
        let name = case.name;
        let mut cluster = ready(seed, Faults::default(), 3);
        for _ in 3..case.instances {
            cluster.add(true, &[0], 3);
        }
        cluster.run(Duration::from_secs(5));
        for at in 0..case.instances {
            leave(&mut cluster, at);
            cluster.run(case.away);
            cluster.restart(at);
            cluster.run(Duration::from_secs(5));
            let (live, gone) = cluster.voters();
            assert!(
                live.len() >= 3 && gone == 0,
                "{name}, seed {seed}, {at}: {live:?}, {gone} gone"
            );
        }
        cluster.run(REPAIR_TIME);
        let (live, gone) = cluster.voters();
        assert_eq!((live.len(), gone), (3, 0), "{name}, seed {seed}");
        assert_eq!(cluster.strangers(), Vec::<usize>::new(), "{name}, seed {seed}");
        assert!(accepts_edits(&mut cluster, 0, 200), "{name}, seed {seed}: the group goes on");
    }
}

// Guards against a second consensus group beside the first when disks and seeds are replaced.
#[test]
fn no_second_group_is_founded() {
    struct Case {
        name: &'static str,
        /// The instance whose disk is replaced; instance 0 is the founder.
        wiped: usize,
        /// Its seeds from then on; 3 and 4 are new and have no disk.
        seeds: &'static [usize],
    }
    let cases = [
        Case { name: "the founder alone", wiped: 0, seeds: &[0] },
        Case { name: "the founder with a new seed", wiped: 0, seeds: &[0, 4] },
        Case { name: "another alone", wiped: 1, seeds: &[1] },
        Case { name: "another with a new seed", wiped: 1, seeds: &[1, 4] },
    ];
    for (case, seed) in cases.iter().flat_map(|case| SEEDS.map(move |seed| (case, seed))) {
        let name = case.name;
        let mut cluster = ready(seed, Faults::default(), 3);
        assert_eq!(cluster.founders, [0], "{name}, seed {seed}: at the start");
        cluster.add(false, &[2], 3);
        cluster.run(Duration::from_secs(3));
        cluster.kill(case.wiped);
        cluster.run(Duration::from_secs(2));
        cluster.wipe(case.wiped);
        cluster.set_seeds(case.wiped, case.seeds);
        cluster.add(false, &[case.wiped], 3);
        cluster.restart(case.wiped);
        cluster.run(REPAIR_TIME);
        assert_eq!(cluster.founders, [0], "{name}, seed {seed}");
        let (live, gone) = cluster.voters();
        assert_eq!((live.len(), gone), (3, 0), "{name}, seed {seed}: live and gone voters");
    }
}

// Guards against an instance that founds a group although its settings don't say so.
#[test]
fn only_a_founder_founds_a_group() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 1);
        cluster.kill(0);
        let alone = cluster.add(true, &[1], 3);
        let second = cluster.add(true, &[alone, 2], 3);
        cluster.run(Duration::from_secs(30));
        let founded_later = cluster.founders.iter().any(|at| [alone, second].contains(at));
        assert!(!founded_later, "seed {seed}: {:?}", cluster.founders);
        assert_eq!(cluster.leader(), None, "seed {seed}");
    }
}

// Guards against voters that are missing without any metric or log line that says so.
#[test]
fn missing_voters_are_reported() {
    struct Case {
        name: &'static str,
        standby: bool,
        /// How long after the loss of a voter the counts are read.
        after: Duration,
        /// The live voters and the standbys.
        want: (usize, usize),
    }
    let soon = Duration::from_secs(3);
    let cases = [
        Case { name: "a standby, soon", standby: true, after: soon, want: (2, 1) },
        Case { name: "a standby, later", standby: true, after: REPAIR_TIME, want: (3, 0) },
        Case { name: "no standby, soon", standby: false, after: soon, want: (2, 0) },
        Case { name: "no standby, later", standby: false, after: REPAIR_TIME * 2, want: (2, 0) },
    ];
    for (case, seed) in cases.iter().flat_map(|case| ROLL_SEEDS.map(move |seed| (case, seed))) {
        let name = case.name;
        let mut cluster = ready(seed, Faults::default(), 3);
        cluster.add(case.standby, &[0], 3);
        cluster.run(Duration::from_secs(5));
        let lost = cluster.random_below(3);
        cluster.kill(lost);
        cluster.run(case.after);
        let counts = cluster.voter_counts[&((lost + 1) % 3)];
        assert_eq!((counts.live, counts.standbys), case.want, "{name}, seed {seed}");
        assert_eq!((counts.wanted, counts.overdue), (3, false), "{name}, seed {seed}");
    }
}
