//! One request and one task from end to end.

use serde_json::json;

use crate::world::{FOUR, RIVAL, World};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_and_a_task_go_from_end_to_end() {
    let world = World::serving(FOUR).await;
    let once = world.call(&[0, 1, 2, 3], "once", 20, false).await;
    assert_eq!((once.ran, once.not_run, once.unknown), (20, 0, 0), "{}", world.logs());
    world.assert_once(&once);

    let task = world.submit(3, "study", 200).await;
    assert_eq!(world.submit(1, "study", 200).await, task, "a resend is the same task");
    let outcome = world.wait_end(3, task).await;
    assert!(outcome.get("Completed").is_some(), "{outcome}");
    assert_eq!(world.journal.overlapping_runs(), Vec::<String>::new());

    let other = world.cluster.task(0, RIVAL, task).await;
    assert_eq!(other, None, "another customer's task can't be seen");
    let status = world.cluster.status(3).await.expect("the instance without a disk answers");
    assert_eq!(status["plans"], json!(1), "an instance without a disk learns the lists");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_of_a_key_gets_the_first_answer() {
    let world = World::serving(FOUR).await;
    let first = world.call(&[0], "plan", 5, false).await;
    assert_eq!(first.ran, 5, "{}", world.logs());
    let again = world.call(&[2, 3], "plan", 5, false).await;
    assert_eq!(again.ran, 5, "the kept answers are given\n{}", world.logs());
    world.assert_once(&again);
}
