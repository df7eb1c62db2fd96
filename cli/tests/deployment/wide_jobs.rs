//! Jobs of many tasks, and what their starts do to the workers of other jobs.

use serde_json::json;

use crate::Fixture;

/// The number of tasks of a wide job.
const WIDE: usize = 4000;

// Guards against a response with more starts than a worker accepts: the wide job never started, and
// the leases of all other runs expired.
#[tokio::test(flavor = "multi_thread")]
async fn a_wide_job_with_a_long_payload_leaves_the_workers_to_others() {
    let fixture = Fixture::start().await;
    let steps = json!([{ "count": WIDE, "cpu": 1, "memMb": 1, "estimateMs": 200 }]);
    let payload = "x".repeat(4000);
    assert!(fixture.deployment.submit_payload(1, &payload, &steps).await, "{}", fixture.logs());
    fixture.submit(2..6).await;
    fixture.completed(1..6).await;
    fixture.check(WIDE + 4 * 5);
}
