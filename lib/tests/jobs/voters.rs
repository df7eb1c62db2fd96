//! What controllers report about the voters and the leader.

use std::time::Duration;

use hickorylink_lib::jobs::{controller::LogEvent, voters::MemberCounts};

use crate::deployment::{Deployment, VOTERS, host_of};

/// The host of a new controller.
const NEW: u8 = 20;

/// A time within which a lost voter is noticed and replaced.
const SETTLED: Duration = Duration::from_secs(8);

/// Something that happens to a controller that doesn't lead, or to the deployment.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Another voter is gone for good.
    Remove,
    /// Another voter is killed and restarts within a second.
    Restart,
    /// A new controller starts.
    Start,
    /// The leader is killed and restarts when another one leads.
    Depose,
}

/// What a leader reports.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Report {
    TooFew { live: usize, standbys: usize, absent: usize },
    Enough { live: usize, standbys: usize },
}

fn report(event: &LogEvent) -> Option<Report> {
    if let LogEvent::TooFewVoters { counts, absent } = event {
        let MemberCounts { live_voters: live, standbys, .. } = *counts;
        Some(Report::TooFew { live, standbys, absent: absent.len() })
    } else if let LogEvent::EnoughVoters { counts, .. } = event {
        Some(Report::Enough { live: counts.live_voters, standbys: counts.standbys })
    } else {
        None
    }
}

fn perform(deployment: &mut Deployment, step: Step) {
    let leader = deployment.leader().expect("a leader");
    let victim = deployment.live_voters().into_iter().find(|host| *host != leader);
    let victim = victim.expect("another voter");
    match step {
        Step::Remove => deployment.remove(victim),
        Step::Restart => {
            deployment.kill(victim);
            deployment.advance(Duration::from_secs(1));
            deployment.restart(victim);
        }
        Step::Start => deployment.start(NEW, &[leader]),
        Step::Depose => {
            let others: Vec<u8> =
                deployment.running().into_iter().filter(|host| *host != leader).collect();
            deployment.wait_for_leader(&others);
        }
    }
    deployment.advance(SETTLED);
}

/// Guards against voters that are lost without a line or a gauge that shows it.
#[test]
fn a_change_between_too_few_and_enough_voters_is_reported_once() {
    struct Case {
        name: &'static str,
        hosts: u8,
        steps: &'static [Step],
        want: &'static [Report],
        /// The live voters and the standbys at the end.
        counts: (usize, usize),
    }
    let cases = [
        Case { name: "nothing happens", hosts: 5, steps: &[], want: &[], counts: (5, 0) },
        Case {
            name: "a voter restarts at once",
            hosts: 5,
            steps: &[Step::Restart],
            want: &[],
            counts: (5, 0),
        },
        Case {
            name: "a standby replaces the voter",
            hosts: 6,
            steps: &[Step::Remove],
            want: &[
                Report::TooFew { live: 4, standbys: 1, absent: 1 },
                Report::Enough { live: 5, standbys: 0 },
            ],
            counts: (5, 0),
        },
        Case {
            name: "there is no standby until one starts",
            hosts: 5,
            steps: &[Step::Remove, Step::Start],
            want: &[
                Report::TooFew { live: 4, standbys: 0, absent: 1 },
                Report::Enough { live: 5, standbys: 0 },
            ],
            counts: (5, 0),
        },
        Case {
            name: "the next leader reports it, too",
            hosts: 5,
            steps: &[Step::Remove, Step::Depose],
            want: &[
                Report::TooFew { live: 4, standbys: 0, absent: 1 },
                Report::TooFew { live: 4, standbys: 0, absent: 1 },
            ],
            counts: (4, 0),
        },
    ];
    for case in cases {
        let mut deployment = Deployment::new(case.hosts, 1);
        deployment.advance(SETTLED);
        deployment.log.clear();
        case.steps.iter().for_each(|step| perform(&mut deployment, *step));
        let got: Vec<_> = deployment.log.iter().filter_map(|(_, event)| report(event)).collect();
        assert_eq!(got, case.want, "{}", case.name);
        let leader = deployment.leader().expect("a leader");
        let counts = deployment.controller(leader).leader().expect("it leads").voters.counts();
        let (live_voters, standbys) = case.counts;
        let want = MemberCounts { voters: 5, live_voters, standbys, wanted: VOTERS };
        assert_eq!(counts, want, "{}", case.name);
    }
}

/// Guards against a new controller that waits unnoticed for a leader.
#[test]
fn a_lost_leader_is_reported_once() {
    struct Case {
        name: &'static str,
        seeds: &'static [u8],
        /// For how many seconds the new controller is cut off after 10 s.
        cut: u64,
        /// How many times it reports that no leader is known.
        want: usize,
    }
    let cases = [
        Case { name: "its seeds are alive", seeds: &[1, 2], cut: 0, want: 0 },
        Case { name: "its seeds are gone", seeds: &[30, 31], cut: 0, want: 1 },
        Case { name: "it is cut off for a moment", seeds: &[1, 2], cut: 2, want: 0 },
        Case { name: "it is cut off for long", seeds: &[1, 2], cut: 30, want: 1 },
    ];
    for case in cases {
        let mut deployment = Deployment::new(5, 1);
        deployment.start(NEW, case.seeds);
        deployment.advance(Duration::from_secs(10));
        if case.cut > 0 {
            deployment.cut(NEW);
            deployment.advance(Duration::from_secs(case.cut));
            deployment.heal(NEW);
        }
        deployment.advance(Duration::from_secs(10));
        let mut lost = Vec::new();
        for (host, event) in &deployment.log {
            if let LogEvent::NoLeader { asked, .. } = event
                && *host == NEW
            {
                lost.push(asked.len());
            }
        }
        assert_eq!(lost.len(), case.want, "{}: {lost:?}", case.name);
        assert!(lost.iter().all(|asked| *asked >= case.seeds.len()), "{}: {lost:?}", case.name);
    }
}

/// Guards against a new controller whose way to the leader can't be followed in the logs.
#[test]
fn a_new_controller_is_reported_with_the_sender_of_the_hello() {
    let mut deployment = Deployment::new(5, 1);
    let leader = deployment.leader().expect("a leader");
    let seed = deployment.running().into_iter().find(|host| *host != leader).expect("a follower");
    deployment.log.clear();
    deployment.start(NEW, &[seed]);
    deployment.advance(SETTLED);
    let mut heard = Vec::new();
    for (host, event) in &deployment.log {
        if let LogEvent::ControllerHeard { peer, from } = event
            && *host == leader
        {
            heard.push((host_of(*peer), host_of(*from)));
        }
    }
    assert_eq!(heard, [(NEW, seed), (NEW, NEW)]);
}
