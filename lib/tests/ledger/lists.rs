//! Edits of the lists, and the replicas that result from them.

use hickorylink_lib::{
    command::{
        Command, ListEdit, ListKind,
        Refusal::{NoSuchCustomer, NoSuchTask, StaleAttempt},
        Reply,
    },
    ids::TaskId,
    ledger::{Limits, change::Change},
    task::EvictionReason,
};

use crate::support::{
    Fixture, cancel, evicted, failed, plans, plans_text, refused, start, submit, submitted, usage,
    yields,
};

#[test]
fn list_edits_are_validated_and_idempotent() {
    let mut fixture = Fixture::new(Limits::default());
    let rejected = |reply: Reply| match reply {
        Reply::Rejected(findings) => findings.to_string(),
        other => panic!("{other:?}"),
    };
    let gap = rejected(fixture.apply(&plans(2, 1, 0)));
    assert_eq!(gap, "plans.jsonc:1:14: version 2 must be 1: no list stands yet");
    let first = fixture.apply(&plans(1, 2, 0));
    assert!(matches!(first, Reply::Edited { .. }), "{first:?}");
    assert_eq!(fixture.apply(&plans(1, 2, 0)), first, "a resend");
    let Reply::Conflict { version, author, text } = fixture.apply(&plans(1, 3, 4)) else {
        panic!("another edit with the current version is a conflict");
    };
    assert_eq!((version, author, text), (1, "ann".into(), plans_text(1, 0)));
    let gap = rejected(fixture.apply(&plans(3, 4, 0)));
    assert_eq!(gap, "plans.jsonc:1:14: version 3 must be 2: version 1 stands");
    let second = fixture.apply(&plans(2, 5, 0));
    assert!(matches!(second, Reply::Edited { .. }), "{second:?}");
    let again = rejected(fixture.apply(&plans(3, 4, 0)));
    assert_eq!(again, gap, "a rejected edit isn't accepted when it is resent");
    assert_eq!(fixture.apply(&plans(1, 2, 0)), first, "a late resend gets the first reply");
    assert!(matches!(fixture.apply(&usage(1, 6)), Reply::Edited { .. }));
    let large = rejected(fixture.apply(&plans(3, 7, 9)));
    assert!(large.contains("its plan guarantees 8 processors"), "{large}");
    let current = fixture.ledger.accepted_list(ListKind::Plans).expect("a list was accepted");
    assert_eq!((current.version, &*current.text), (2, plans_text(2, 0).as_str()));
}

#[test]
fn replicas_are_reconciled_with_the_plans_list() {
    let mut fixture = Fixture::ready();
    let replicas = |fixture: &Fixture| -> Vec<(u64, bool)> {
        let open = fixture.ledger.open_tasks().map(|view| view.to_open());
        open.map(|task| (task.task.0, task.cancelled)).collect()
    };
    fixture.apply(&plans(2, 10, 3));
    assert_eq!(replicas(&fixture), [(1, false), (2, false), (3, false)]);
    let task = fixture.ledger.task(TaskId(1)).expect("the task is open").to_open();
    assert_eq!((task.spec.service, task.spec.centre), (Some("desk".into()), Some("akl-a".into())));
    assert_eq!(
        fixture.apply(&cancel("store", 1)),
        refused(NoSuchTask),
        "customers can't cancel replicas"
    );
    assert_eq!(
        fixture.apply(&start("akl-b", 1, (1, 1))),
        refused(StaleAttempt),
        "it must run in akl-a"
    );
    fixture.apply(&start("akl-a", 1, (3, 1)));
    let changes = fixture.changes_of(&plans(3, 11, 1));
    let requested =
        changes.iter().filter(|change| matches!(change, Change::CancelRequested { .. }));
    assert_eq!(requested.count(), 2);
    assert_eq!(replicas(&fixture), [(1, false), (3, true)], "the running one is asked to stop");
    fixture.apply(&plans(4, 12, 2));
    assert_eq!(replicas(&fixture), [(1, false), (3, true), (4, false)]);
    fixture.apply(&yields("akl-a", 1, (3, 1), None, evicted(EvictionReason::Leaving)));
    assert_eq!(replicas(&fixture), [(1, false), (4, false)]);
    for number in 1..10 {
        assert_eq!(fixture.apply(&start("akl-a", 1, (1, number))), Reply::Done);
        let stop = yields("akl-a", 1, (1, number), None, failed());
        assert_eq!(fixture.apply(&stop), Reply::Done);
    }
    assert_eq!(
        replicas(&fixture),
        [(1, false), (4, false)],
        "a replica may fail any number of times"
    );
}

#[test]
fn running_replica_gets_its_new_size_when_requeued() {
    let mut fixture = Fixture::ready();
    fixture.apply(&plans(2, 10, 2));
    fixture.apply(&start("akl-a", 1, (1, 1)));
    let text = plans_text(3, 2).replace(r#""processors": 1"#, r#""processors": 2"#);
    let (list, author) = (ListKind::Plans, "ann".into());
    fixture.apply(&Command::EditList(ListEdit { list, edit: 11, author, text }));
    let size = |fixture: &Fixture, task| {
        fixture.ledger.task(TaskId(task)).expect("the task is open").spec().size.millicores
    };
    assert_eq!((size(&fixture, 1), size(&fixture, 2)), (1_000, 2_000));
    fixture.apply(&yields("akl-a", 1, (1, 1), None, evicted(EvictionReason::Leaving)));
    assert_eq!(size(&fixture, 1), 2_000);
}

#[test]
fn removed_customer_keeps_running_tasks_but_cannot_submit() {
    let mut fixture = Fixture::ready();
    fixture.apply(&submit("member", "a", true));
    fixture.apply(&start("akl-a", 1, (1, 1)));
    let text = plans_text(2, 0);
    let from = text.find(r#"{ "name": "member""#).expect("the customer has a row");
    let to = text[from..].find('\n').expect("the row ends") + from;
    let text = format!("{}{}", &text[..from], &text[to..]);
    let edit = ListEdit { list: ListKind::Plans, edit: 10, author: "ann".into(), text };
    assert!(matches!(fixture.apply(&Command::EditList(edit)), Reply::Edited { .. }));
    assert_eq!(fixture.apply(&submit("member", "b", true)), refused(NoSuchCustomer));
    assert_eq!(fixture.apply(&submit("member", "a", true)), submitted(1), "a resend");
    assert_eq!(fixture.apply(&cancel("member", 1)), Reply::Done);
}
