//! Conflicting and resent edits of the lists.

use hickorylink_standin::cluster::eventually;

use crate::fixture::{CONDITION_TIMEOUT, FOUR, Fixture, plans, usage};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_edits_of_the_same_version_one_is_applied() {
    let fixture = Fixture::start(FOUR, 0).await;
    fixture.apply("plans", &plans(1)).await;
    fixture.apply("usage", &usage(1)).await;
    let one = plans(2).replace("\"version\":2", "\"version\": 2");
    let other = plans(2);
    assert_ne!(one, other);
    let mut applied = Vec::new();
    for (at, text, edit) in [(1, &one, "a1"), (2, &other, "a2")] {
        let answered = eventually(CONDITION_TIMEOUT, async || {
            let answer = fixture.cluster.apply_edit(at, "plans", text, edit).await.ok()?;
            matches!(answer.status, 200 | 409).then_some(answer)
        });
        applied.push(answered.await.expect("the edit is answered"));
    }
    let statuses: Vec<u16> = applied.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [200, 409], "the first is applied, the second conflicts");
    let message = String::from_utf8_lossy(&applied[1].body).into_owned();
    assert!(message.contains("version 2 by first stands"), "{message}");

    let resent = fixture.cluster.apply_edit(0, "plans", &one, "a1").await.expect("an answer");
    assert_eq!(resent.status, 200, "a resent edit gets the first answer");
    assert_eq!(resent.body, applied[0].body);
    for at in 0..FOUR.len() {
        let in_force = eventually(CONDITION_TIMEOUT, async || {
            let status = fixture.cluster.status(at).await?;
            // The third edit that was accepted: plans, usage, plans.
            (status["plans"].as_u64()? == 3).then_some(())
        });
        assert!(in_force.await.is_some(), "in force at {at}\n{}", fixture.logs());
    }
}
