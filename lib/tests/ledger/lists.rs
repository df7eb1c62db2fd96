//! Edits of the lists, and the replicas that follow them.

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
    TestLedger, cancel, evicted, failed, plans, plans_text, refused, start, submit, submitted,
    usage, yields,
};

#[test]
fn edits_of_lists() {
    let mut world = TestLedger::new(Limits::default());
    let rejected = |reply: Reply| match reply {
        Reply::Rejected(findings) => findings.to_string(),
        other => panic!("{other:?}"),
    };
    let gap = rejected(world.apply(&plans(2, 1, 0)));
    assert_eq!(gap, "plans.jsonc:1:14: version 2 must be 1: no list stands yet");
    let first = world.apply(&plans(1, 2, 0));
    assert!(matches!(first, Reply::Edited { .. }), "{first:?}");
    assert_eq!(world.apply(&plans(1, 2, 0)), first, "a resend");
    let Reply::Conflict { version, author, text } = world.apply(&plans(1, 3, 4)) else {
        panic!("another edit with the version that stands is a conflict");
    };
    assert_eq!((version, author, text), (1, "ann".into(), plans_text(1, 0)));
    let gap = rejected(world.apply(&plans(3, 4, 0)));
    assert_eq!(gap, "plans.jsonc:1:14: version 3 must be 2: version 1 stands");
    let second = world.apply(&plans(2, 5, 0));
    assert!(matches!(second, Reply::Edited { .. }), "{second:?}");
    let again = rejected(world.apply(&plans(3, 4, 0)));
    assert_eq!(again, gap, "a rejected edit isn't accepted when it comes again");
    assert_eq!(world.apply(&plans(1, 2, 0)), first, "a late resend gets the first answer");
    assert!(matches!(world.apply(&usage(1, 6)), Reply::Edited { .. }));
    let large = rejected(world.apply(&plans(3, 7, 9)));
    assert!(large.contains("its plan guarantees 8 processors"), "{large}");
    let standing = world.ledger.accepted_list(ListKind::Plans).expect("a list stands");
    assert_eq!((standing.version, &*standing.text), (2, plans_text(2, 0).as_str()));
}

#[test]
fn replicas_follow_the_list() {
    let mut world = TestLedger::ready();
    let replicas = |world: &TestLedger| -> Vec<(u64, bool)> {
        let open = world.ledger.open_tasks().map(|view| view.to_open());
        open.map(|task| (task.task.0, task.cancelled)).collect()
    };
    world.apply(&plans(2, 10, 3));
    assert_eq!(replicas(&world), [(1, false), (2, false), (3, false)]);
    let task = world.ledger.task(TaskId(1)).expect("it is open").to_open();
    assert_eq!((task.spec.service, task.spec.centre), (Some("desk".into()), Some("akl-a".into())));
    assert_eq!(world.apply(&cancel("store", 1)), refused(NoSuchTask), "only the list cancels");
    assert_eq!(world.apply(&start("akl-b", 1, (1, 1))), refused(StaleAttempt), "it is pinned");
    world.apply(&start("akl-a", 1, (3, 1)));
    let changes = world.changes_of(&plans(3, 11, 1));
    let asked = changes.iter().filter(|change| matches!(change, Change::CancelRequested { .. }));
    assert_eq!(asked.count(), 2);
    assert_eq!(replicas(&world), [(1, false), (3, true)], "the one that runs is asked to stop");
    world.apply(&plans(4, 12, 2));
    assert_eq!(replicas(&world), [(1, false), (3, true), (4, false)]);
    world.apply(&yields("akl-a", 1, (3, 1), None, evicted(EvictionReason::Leaving)));
    assert_eq!(replicas(&world), [(1, false), (4, false)]);
    for number in 1..10 {
        assert_eq!(world.apply(&start("akl-a", 1, (1, number))), Reply::Done);
        let stop = yields("akl-a", 1, (1, number), None, failed());
        assert_eq!(world.apply(&stop), Reply::Done);
    }
    assert_eq!(replicas(&world), [(1, false), (4, false)], "a replica has no bound of failures");
}

#[test]
fn a_running_replica_takes_its_new_size_when_it_next_waits() {
    let mut world = TestLedger::ready();
    world.apply(&plans(2, 10, 2));
    world.apply(&start("akl-a", 1, (1, 1)));
    let text = plans_text(3, 2).replace(r#""processors": 1"#, r#""processors": 2"#);
    let (list, author) = (ListKind::Plans, "ann".into());
    world.apply(&Command::EditList(ListEdit { list, edit: 11, author, text }));
    let size = |world: &TestLedger, task| {
        world.ledger.task(TaskId(task)).expect("it is open").spec().size.millicores
    };
    assert_eq!((size(&world, 1), size(&world, 2)), (1_000, 2_000));
    world.apply(&yields("akl-a", 1, (1, 1), None, evicted(EvictionReason::Leaving)));
    assert_eq!(size(&world, 1), 2_000);
}

#[test]
fn a_customer_that_goes_keeps_what_runs_and_submits_nothing_more() {
    let mut world = TestLedger::ready();
    world.apply(&submit("member", "a", true));
    world.apply(&start("akl-a", 1, (1, 1)));
    let text = plans_text(2, 0);
    let from = text.find(r#"{ "name": "member""#).expect("the row is there");
    let to = text[from..].find('\n').expect("the row ends") + from;
    let text = format!("{}{}", &text[..from], &text[to..]);
    let edit = ListEdit { list: ListKind::Plans, edit: 10, author: "ann".into(), text };
    assert!(matches!(world.apply(&Command::EditList(edit)), Reply::Edited { .. }));
    assert_eq!(world.apply(&submit("member", "b", true)), refused(NoSuchCustomer));
    assert_eq!(world.apply(&submit("member", "a", true)), submitted(1), "a resend");
    assert_eq!(world.apply(&cancel("member", 1)), Reply::Done);
}
