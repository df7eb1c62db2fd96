//! New addresses of other instances in the settings of a running instance.

use std::time::Duration;

use hickorylink_standin::cluster::{InstanceSpec, Signal, eventually, free_address};

use crate::fixture::{CONDITION_TIMEOUT, Fixture, ONE};

/// How long an instance without a reachable seed is watched: longer than any retry.
const WATCH_TIME: Duration = Duration::from_secs(3);

// Guards against an instance that stays alone for good because all its seeds are gone, and against
// one that ends when it is told to read its settings again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_seeds_reach_a_running_instance() {
    struct Case {
        name: &'static str,
        /// Whether the instance is told by a signal that its settings changed.
        signalled: bool,
    }
    let cases = [
        Case { name: "signalled", signalled: true },
        Case { name: "not-signalled", signalled: false },
    ];
    for case in &cases {
        let mut fixture = Fixture::start(ONE, 0).await;
        let gone = free_address().expect("a free port");
        let spec = InstanceSpec { name: case.name, centre: "akl-a", disk: true };
        let new = fixture.cluster.add(&spec, &[gone]).expect("it starts");
        tokio::time::sleep(WATCH_TIME).await;
        assert!(!is_alive(&fixture, case.name).await, "{}: nobody knows it yet", case.name);
        let seed = fixture.cluster.instances[0].peer_listen;
        fixture.cluster.set_peers(new, &[seed]).expect("the settings can be written");
        if case.signalled {
            fixture.cluster.signal(new, Signal::SIGHUP).expect("the instance runs");
        }
        let heard = eventually(CONDITION_TIMEOUT, async || {
            is_alive(&fixture, case.name).await.then_some(())
        });
        assert!(
            heard.await.is_some(),
            "{}: the first instance hears it\n{}",
            case.name,
            fixture.logs()
        );
    }
}

/// Whether the first instance counts this one as alive.
async fn is_alive(fixture: &Fixture, name: &str) -> bool {
    let status = fixture.cluster.status(0).await;
    let alive = status.and_then(|status| status.get("alive").cloned()).unwrap_or_default();
    alive.as_array().is_some_and(|names| names.iter().any(|alive| alive == name))
}
