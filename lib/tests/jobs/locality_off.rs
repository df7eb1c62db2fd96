//! Placement without waits for better placements.

use std::time::Duration;

use hickorylink_lib::jobs::{
    locality::Locality,
    model::{Step, StepOptions},
};

use crate::{
    locality_model::{Model, near, on_rack},
    world::World,
};

/// The starts of a mixed load: hot racks, bursts, gangs, long-running and opportunistic tasks, a worker that
/// dies and a change of the leader.
fn starts(world: World) -> Vec<String> {
    let workers = (0..12).map(|at| on_rack(&format!("w{at}"), &format!("r{}", at / 3), 4));
    let mut model = Model::new(world, 3.0, workers.collect());
    let mut seed = 7_u64;
    let mut random = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % below
    };
    for id in 1..120 {
        let work = 200 + random(1500);
        let count = 1 + u32::try_from(random(6)).expect("it is small");
        // Half of the data is on one rack.
        let rack = if random(2) == 0 { 0 } else { random(4) };
        let options = match random(8) {
            0 => StepOptions { gang: true, rack_sensitive: true, ..StepOptions::default() },
            1 => StepOptions { gang: true, ..StepOptions::default() },
            2 => StepOptions { opportunistic: true, ..StepOptions::default() },
            3 if id < 20 => StepOptions { long_running: true, ..StepOptions::default() },
            _ => StepOptions::default(),
        };
        let estimate = work * (1 + random(19)) / 10;
        model.submit(id, Step { options, ..near(count, &format!("r{rack}"), estimate) }, work);
        model.run(Duration::from_millis(random(300)));
        match id {
            40 => model.workers[5].dead = true,
            80 => model.change_leader(),
            _ => {}
        }
    }
    model.run(Duration::from_secs(20));
    let begun = model.started.first().map(|started| started.at).expect("a task starts");
    let starts = model.started.iter().map(|started| {
        format!("{} {} {}", started.task, started.worker, started.at.since(begun).as_millis())
    });
    starts.collect()
}

/// The checksum of the lines.
fn checksum(lines: &[String]) -> u64 {
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Guards against other placements in deployments without the setting. The number and the checksum of the
/// starts are those of c1fc6d1, the commit before waits were added.
#[test]
fn placement_without_the_setting_is_as_before() {
    let starts = starts(World::new());
    assert_eq!((starts.len(), checksum(&starts)), (1063, 16456123934046552751));
}

/// Guards against waits although the longest wait is 0.
#[test]
fn a_longest_wait_of_zero_is_the_same_as_no_setting() {
    let zero = Locality { remote_factor: 3.0, max_wait: Duration::ZERO };
    assert_eq!(starts(World::with_locality(zero)), starts(World::new()));
}

/// Guards against a comparison that finds no difference whatever the setting is.
#[test]
fn the_mixed_load_is_placed_otherwise_with_waits() {
    let on = Locality { remote_factor: 3.0, max_wait: Duration::from_secs(2) };
    assert_ne!(starts(World::with_locality(on)), starts(World::new()));
}
