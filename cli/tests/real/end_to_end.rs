//! Requests and a task from end to end.

use serde_json::json;

use crate::fixture::{FOUR, Fixture, RIVAL};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_and_a_task_run_end_to_end() {
    let fixture = Fixture::serving(FOUR).await;
    let once = fixture.call(&[0, 1, 2, 3], "once", 20, false).await;
    assert_eq!((once.ran, once.not_run, once.unknown), (20, 0, 0), "{}", fixture.logs());
    fixture.assert_once(&once);

    let task = fixture.submit(3, "study", 200).await;
    assert_eq!(fixture.submit(1, "study", 200).await, task, "a resend is the same task");
    let outcome = fixture.wait_end(3, task).await;
    assert!(outcome.get("Completed").is_some(), "{outcome}");
    assert_eq!(fixture.history.overlapping_runs(), Vec::<String>::new());

    let other = fixture.cluster.task(0, RIVAL, task).await;
    assert_eq!(other, None, "another customer's task can't be seen");
    let status = fixture.cluster.status(3).await.expect("the instance without a disk answers");
    assert_eq!(status["plans"], json!(1), "an instance without a disk learns the lists");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_keys_get_the_first_answer() {
    let fixture = Fixture::serving(FOUR).await;
    let first = fixture.call(&[0], "plan", 5, false).await;
    assert_eq!(first.ran, 5, "{}", fixture.logs());
    let again = fixture.call(&[2, 3], "plan", 5, false).await;
    assert_eq!(again.ran, 5, "the stored answers are returned\n{}", fixture.logs());
    fixture.assert_once(&again);
}
