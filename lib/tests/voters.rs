//! The counts of voters, and when a replacement is overdue.

use hickorylink_lib::{
    consensus::log::Members, directory::port::InstanceInfo, ids::InstanceId,
    replicated_log::voters::VoterWatch, time::Time,
};

fn info(number: u64, draining: bool) -> InstanceInfo {
    InstanceInfo {
        instance: InstanceId(number),
        name: format!("akl-a-{number}").as_str().into(),
        centre: "akl-a".into(),
        peer: ([10, 1, 0, 1], 7100).into(),
        front: ([10, 1, 0, 1], 7000).into(),
        disk: true,
        draining,
    }
}

// Guards against voters that are missing for long beside a standby without a line that says so.
#[test]
fn missing_voters_beside_a_standby_are_overdue_after_a_minute() {
    struct Case {
        name: &'static str,
        /// The instances of voters 1 to 3 and standby 4 that are alive.
        alive: &'static [u64],
        draining: &'static [u64],
        /// The live voters, the standbys, and whether their promotion is overdue in the end.
        want: (usize, usize, bool),
    }
    let cases = [
        Case { name: "whole", alive: &[1, 2, 3, 4], draining: &[], want: (3, 1, false) },
        Case { name: "a voter is lost", alive: &[1, 2, 4], draining: &[], want: (2, 1, true) },
        Case { name: "a voter drains", alive: &[1, 2, 3, 4], draining: &[3], want: (2, 1, true) },
        Case { name: "no standby", alive: &[1, 2], draining: &[], want: (2, 0, false) },
        Case { name: "the standby drains", alive: &[1, 2, 4], draining: &[4], want: (2, 0, false) },
    ];
    let ids = |list: &[u64]| list.iter().copied().map(InstanceId).collect();
    let members = Members { voters: ids(&[1, 2, 3]), learners: ids(&[4]) };
    for case in &cases {
        let alive = case.alive.iter().map(|number| info(*number, case.draining.contains(number)));
        let alive: Vec<_> = alive.collect();
        let mut watch = VoterWatch::default();
        let mut counts = None;
        for second in 0..=60 {
            let now = Time::from_millis(second * 1000);
            counts = watch.update(now, 3, &members, &alive).or(counts);
            let early = counts.is_some_and(|counts| counts.overdue && second < 60);
            assert!(!early, "{}: overdue after {second} s", case.name);
        }
        let counts = counts.expect("the first counts are a change");
        assert_eq!((counts.live, counts.standbys, counts.overdue), case.want, "{}", case.name);
        let again = watch.update(Time::from_millis(61_000), 3, &members, &alive);
        assert_eq!(again, None, "{}: nothing changed", case.name);
    }
}
