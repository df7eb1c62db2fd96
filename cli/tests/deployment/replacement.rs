//! Controllers that are replaced by ones at new addresses while the deployment serves calls.

use std::collections::BTreeSet;

use hickorylink_standin::cluster::eventually;
use nix::sys::signal::Signal;
use serde_json::Value;

use crate::{CONDITION_TIMEOUT, Fixture, metric};

/// The number of voters in a deployment that bears one loss.
const VOTERS: f64 = 3.0;

impl Fixture {
    /// Waits for a leader that isn't one of these controllers.
    async fn leader_besides(&self, lost: &[usize]) -> usize {
        let leader = eventually(CONDITION_TIMEOUT, async || {
            self.deployment.leader().filter(|leader| !lost.contains(leader))
        });
        leader.await.unwrap_or_else(|| panic!("another one leads\n{}", self.logs()))
    }

    /// Waits until these controllers, and no others, vote, and the leader counts all of them as live.
    async fn all_places_taken(&self, by: &[usize]) {
        let taken = eventually(CONDITION_TIMEOUT, async || {
            let leader = self.deployment.leader()?;
            let text = self.deployment.metrics(leader).await.ok()?;
            let counted = |name| metric(&text, &format!("hickorylink_{name}")) == Some(VOTERS);
            let names = ["wanted_voters", "voters", "live_voters"];
            // A controller that was killed counts as live for a while.
            let voters: Option<BTreeSet<u64>> = by.iter().map(|at| self.identity(*at)).collect();
            let taken = names.into_iter().all(counted) && self.voters(leader)? == voters?;
            taken.then_some(())
        });
        assert!(taken.await.is_some(), "{by:?} vote and are live\n{}", self.logs());
    }

    /// The field of the last record with this message in a controller's log.
    fn last_logged(&self, at: usize, message: &str, field: &str) -> Option<Value> {
        let log = self.deployment.log(at);
        let records = log.lines().rev().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let mut found = records.filter(|record| record["msg"] == message);
        found.next().map(|record| record[field].clone())
    }

    /// The identity that a controller had at its last start.
    fn identity(&self, at: usize) -> Option<u64> {
        self.last_logged(at, "the controller starts", "id")?.as_u64()
    }

    /// The identities of the voters, as this controller knows them.
    fn voters(&self, at: usize) -> Option<BTreeSet<u64>> {
        let voters = self.last_logged(at, "members changed", "voters")?;
        voters.as_str()?.split_whitespace().map(|id| id.parse().ok()).collect()
    }

    /// Starts a controller that knows these others.
    fn add_controller(&mut self, seeds: &[usize]) -> usize {
        let seeds: Vec<_> = seeds.iter().map(|at| self.deployment.address(*at)).collect();
        self.deployment.add_controller(&seeds).expect("the process can be started")
    }
}

// Guards against new controllers that never vote since the leader is none of their seeds: two later
// lost disks then lose what callers were told is stored.
#[tokio::test(flavor = "multi_thread")]
async fn controllers_are_replaced_at_new_addresses_with_stale_seeds() {
    let mut fixture = Fixture::start().await;
    fixture.all_places_taken(&[0, 1, 2]).await;
    fixture.submit(1..4).await;

    // The leader is gone for good, and the successor knows it and a follower.
    let first = fixture.deployment.leader().expect("there is a leader");
    fixture.deployment.kill(first).expect("the process can be killed");
    let leader = fixture.leader_besides(&[first]).await;
    let follower = (0..3).find(|at| ![first, leader].contains(at)).expect("a follower");
    let successor = fixture.add_controller(&[first, follower]);
    fixture.all_places_taken(&[leader, follower, successor]).await;
    fixture.submit(4..7).await;

    // A planned replacement: the new one starts, then the follower is told to stop.
    let second = fixture.add_controller(&[first, successor]);
    let joined = eventually(CONDITION_TIMEOUT, async || {
        fixture.deployment.log(second).contains("members changed").then_some(())
    });
    assert!(joined.await.is_some(), "the new one is a member\n{}", fixture.logs());
    fixture.deployment.signal(follower, Signal::SIGTERM).expect("the process runs");
    let deployment = &mut fixture.deployment;
    let stopped =
        eventually(CONDITION_TIMEOUT, async || (!deployment.is_running(follower)).then_some(()));
    assert!(stopped.await.is_some(), "the follower stops\n{}", fixture.logs());
    let running = [leader, successor, second];
    fixture.all_places_taken(&running).await;
    fixture.submit(7..10).await;

    // All lose power, and one its disk.
    for at in running {
        fixture.deployment.kill(at).expect("the process can be killed");
    }
    fixture.deployment.wipe_disk(second).expect("its folder can be removed");
    for at in running {
        fixture.deployment.launch(at).expect("the process can be restarted");
    }
    fixture.all_places_taken(&running).await;
    fixture.submit(10..13).await;
    fixture.completed(1..13).await;
    fixture.check(12 * 5);
}
