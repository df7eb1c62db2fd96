//! Controllers that are replaced by ones at new addresses, which know only a few others.

use std::time::Duration;

use hickorylink_lib::jobs::controller::Event;

use crate::{
    deployment::{Deployment, LOSSES},
    world::node,
};

/// How long a deployment has to settle after the last disruption.
const CALM: Duration = Duration::from_secs(10);

/// The time after a power loss within which calls are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// The host of the founder that fails, and of the one that leaves as planned.
const GONE: u8 = 1;
const LEAVER: u8 = 2;

/// The hosts of the new controllers.
const NEW: [u8; 2] = [7, 8];

/// Who leads when the new controllers start.
#[derive(Clone, Copy, Debug)]
enum Leader {
    /// One of these hosts.
    OneOf(&'static [u8]),
    /// The controller that doesn't vote in a new deployment.
    Standby,
}

#[derive(Debug)]
struct Replacement {
    name: &'static str,
    /// The seeds of each new controller.
    seeds: [&'static [u8]; 2],
    leader: Leader,
}

const REPLACEMENTS: &[Replacement] = &[
    Replacement {
        name: "the seeds are the founders and a controller leads that isn't one",
        seeds: [&[1, 2, 3], &[1, 2, 3]],
        leader: Leader::OneOf(&[4, 5, 6]),
    },
    Replacement {
        name: "the seeds are others than the founders, one of which leads",
        seeds: [&[5, 6], &[5, 6]],
        leader: Leader::OneOf(&[3]),
    },
    Replacement {
        name: "one seed is alive and follows",
        seeds: [&[1, 9, 5], &[1, 9, 5]],
        leader: Leader::OneOf(&[3, 4, 6]),
    },
    Replacement {
        name: "the leader was a standby",
        seeds: [&[1, 2, 3], &[1, 2, 3]],
        leader: Leader::Standby,
    },
    Replacement {
        name: "the only seed of the second is the first",
        seeds: [&[1, 2, 3], &[7]],
        leader: Leader::OneOf(&[4, 5, 6]),
    },
];

impl Replacement {
    /// Replaces two of six controllers, then empties two disks and cuts the power of all.
    fn run(&self, seed: u64) -> Result<(), Vec<String>> {
        let mut deployment = Deployment::new(6, seed);
        let voters = deployment.live_voters();
        let standby = deployment.running().into_iter().find(|host| !voters.contains(host));
        deployment.wait_for_leader(&[GONE]);
        deployment.remove(GONE);
        match self.leader {
            Leader::OneOf(hosts) => deployment.wait_for_leader(hosts),
            Leader::Standby => {
                let standby = standby.expect("a standby");
                deployment.wait("the standby's vote", |d| d.live_voters().contains(&standby));
                deployment.wait_for_leader(&[standby]);
            }
        }
        for (host, seeds) in NEW.into_iter().zip(self.seeds) {
            deployment.start(host, seeds);
            deployment.advance(Duration::from_secs(1));
        }
        deployment.submit();
        deployment.advance(CALM);
        deployment.leave(LEAVER);
        deployment.advance(CALM);
        let replaced = deployment.check().map_err(|e| format!("after the replacement: {e}"));

        let wiped: Vec<u8> = deployment.live_voters().into_iter().take(LOSSES).collect();
        let hosts = deployment.running();
        hosts.iter().for_each(|host| deployment.kill(*host));
        for host in wiped {
            let seeds = deployment.seeds(host).to_vec();
            deployment.lose_disk(host, &seeds);
        }
        deployment.advance(Duration::from_secs(1));
        hosts.iter().for_each(|host| deployment.restart(*host));
        deployment.advance(RECOVERY_TIME);
        let recovered = deployment.check().map_err(|e| format!("after the power loss: {e}"));
        let errors: Vec<String> =
            [replaced, recovered].into_iter().filter_map(Result::err).collect();
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }
}

/// Guards against controllers that only their seeds hear, so that the leader never adds them and
/// the voters that are lost stay without replacement.
#[test]
fn a_new_controller_joins_although_the_leader_is_none_of_its_seeds() {
    let run = |case: &Replacement| case.run(1).err().map(|errors| (case.name, errors));
    let failures: Vec<_> = REPLACEMENTS.iter().filter_map(run).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Checks that the harness itself settles when the leader is among the seeds.
#[test]
fn a_new_controller_joins_through_a_seed_that_leads() {
    let case = Replacement {
        name: "the leader is a seed",
        seeds: [&[3, 4], &[3, 4]],
        leader: Leader::OneOf(&[3, 4]),
    };
    assert_eq!(case.run(1), Ok(()));
}

// Guards against a controller that knows only others that are gone, and for good.
#[test]
fn a_controller_without_a_live_seed_joins_once_its_settings_name_one() {
    let mut deployment = Deployment::new(5, 1);
    deployment.start(NEW[0], &[NEW[1]]);
    deployment.advance(CALM);
    assert!(deployment.check().is_err(), "nobody has heard the new controller");
    let follower =
        deployment.live_voters().into_iter().find(|host| Some(*host) != deployment.leader());
    let seed = node(0, follower.expect("a follower")).peer;
    deployment.receive(NEW[0], Event::Seeds(vec![seed]));
    deployment.advance(CALM);
    assert_eq!(deployment.check(), Ok(()));
}
