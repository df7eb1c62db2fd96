//! Evacuated data centres of a deployment.

use std::time::Instant;

use bytes::Bytes;
use hickorylink_standin::{cluster::eventually, net, platform::worker::Worker};
use hyper::Method;

use crate::{CONDITION_TIMEOUT, Fixture, metric};

/// The data centre of the fixture's workers, and that of the worker which the test adds.
const FIRST: &str = "/hickorylink/evacuations/centre-0";
const SECOND: &str = "/hickorylink/evacuations/centre-1";

impl Fixture {
    /// Sends an order, if necessary several times, until it is acknowledged. Returns when it was.
    async fn order(&self, method: Method, path: &str) -> Instant {
        let stored = eventually(CONDITION_TIMEOUT, async || {
            let answer =
                self.deployment.operator_request(method.clone(), path, Bytes::new()).await?;
            assert_eq!(answer.status, 200, "{method} {path}\n{}", self.logs());
            Some(())
        });
        assert!(stored.await.is_some(), "{method} {path}\n{}", self.logs());
        Instant::now()
    }

    /// The names of the workers with a start after this time.
    fn workers_since(&self, since: Instant) -> Vec<String> {
        let runs = self.history.runs().into_iter().filter(|run| run.started > since);
        let mut names: Vec<_> = runs.map(|run| run.worker).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}

async fn answer_paths(fixture: &Fixture) {
    struct Case {
        name: &'static str,
        method: Method,
        path: &'static str,
        status: u16,
    }
    let case = |name, method, path, status| Case { name, method, path, status };
    let cases = [
        case("no name", Method::POST, "/hickorylink/evacuations/", 404),
        case("no slash", Method::POST, "/hickorylink/evacuations", 404),
        case("a further slash", Method::POST, "/hickorylink/evacuations/centre-0/", 404),
        case("an encoded slash", Method::POST, "/hickorylink/evacuations/centre-0%2F", 404),
        case("a broken encoding", Method::POST, "/hickorylink/evacuations/centre-%4", 404),
        case("an unknown data centre", Method::POST, "/hickorylink/evacuations/centre-9", 404),
        case("its cancellation", Method::DELETE, "/hickorylink/evacuations/centre-9", 404),
        case("another method", Method::GET, FIRST, 404),
        case("a cancellation without an order", Method::DELETE, FIRST, 200),
        case("an encoded name", Method::DELETE, "/hickorylink/evacuations/centre%2d0", 200),
    ];
    for case in cases {
        let request = fixture.deployment.operator_request(case.method, case.path, Bytes::new());
        let answer = request.await.expect("an answer");
        assert_eq!(answer.status, case.status, "{}", case.name);
    }
}

/// Whether the leader shows that the first data centre is evacuated.
async fn is_shown(fixture: &Fixture) -> bool {
    let Some(leader) = fixture.deployment.leader() else { return false };
    let Ok(text) = fixture.deployment.metrics(leader).await else { return false };
    metric(&text, "hickorylink_evacuated{centre=\"centre-0\"}") == Some(1.0)
        && metric(&text, "hickorylink_evacuated{centre=\"centre-1\"}") == Some(0.0)
        && metric(&text, "hickorylink_evacuation_runs{centre=\"centre-0\"}") == Some(0.0)
}

/// Guards against an order that a follower doesn't pass on, that the next leader or a restarted controller
/// doesn't know, or that can't be cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_an_evacuated_data_centre() {
    let mut fixture = Fixture::start().await;
    answer_paths(&fixture).await;
    let controllers = fixture.deployment.controllers();
    let _other = Worker::start_in("centre-1", "w4", &controllers, &fixture.history);
    fixture.submit(1..4).await;
    fixture.completed(1..4).await;

    fixture.order(Method::POST, FIRST).await;
    let evacuated = fixture.order(Method::POST, FIRST).await;
    let followed = eventually(CONDITION_TIMEOUT, async || {
        let leader = fixture.deployment.address(fixture.deployment.leader()?);
        let follower = controllers.iter().find(|at| **at != leader)?;
        let sent = net::send(*follower, Method::POST, FIRST, &[], Bytes::new()).await.ok()?;
        let location = sent.location.filter(|_| sent.status == 307)?;
        location.ends_with(FIRST).then_some(())
    });
    assert!(followed.await.is_some(), "a follower redirects\n{}", fixture.logs());
    fixture.submit(4..8).await;
    fixture.completed(4..8).await;
    let shown =
        eventually(CONDITION_TIMEOUT, async || is_shown(&fixture).await.then_some(())).await;
    assert!(shown.is_some(), "{}", fixture.logs());
    assert!(fixture.logs().contains("evacuation of a data centre"));

    let leader = fixture.deployment.leader().expect("there is a leader");
    fixture.deployment.kill(leader).expect("the process can be killed");
    fixture.submit(8..12).await;
    fixture.completed(8..12).await;
    for at in 0..3 {
        fixture.deployment.kill(at).expect("the process can be killed");
        fixture.deployment.launch(at).expect("the process can be restarted");
    }
    fixture.submit(12..15).await;
    fixture.completed(12..15).await;
    // No start was on its way at the order, since all jobs were completed.
    assert_eq!(fixture.workers_since(evacuated), ["w4"]);

    let other = fixture.order(Method::POST, SECOND).await;
    fixture.order(Method::DELETE, FIRST).await;
    fixture.submit(15..18).await;
    fixture.completed(15..18).await;
    let workers = fixture.workers_since(other);
    assert!(!workers.is_empty() && !workers.contains(&"w4".to_owned()), "{workers:?}");
    fixture.check(17 * 5);
}
