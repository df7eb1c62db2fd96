//! Claims, counts and epochs.

use hickorylink_lib::{
    command::{
        ClaimResult,
        Refusal::{KeyReused, NoSuchCustomer, NotOwner},
        Reply,
    },
    ids::{DataCentre, Epoch, InstanceId, TaskId},
};

use crate::support::{
    Case, Fixture, claim, count, grant, ran, refused, release, run, settle, stale,
};

#[test]
fn claims_are_exclusive_and_idempotent() {
    let claimed_earlier = |result| Reply::AlreadyClaimed { result };
    run(vec![
        Case {
            name: "a resent claim, and claims by others",
            steps: vec![
                (claim("store", "k", 1, (1, 1)), Reply::Claimed),
                (claim("store", "k", 1, (1, 1)), Reply::Claimed),
                (claim("store", "k", 1, (2, 1)), claimed_earlier(None)),
                (claim("store", "k", 2, (2, 1)), refused(KeyReused)),
                (claim("member", "k", 2, (2, 2)), Reply::Claimed),
                (claim("nobody", "k", 2, (2, 2)), refused(NoSuchCustomer)),
            ],
        },
        Case {
            name: "a request that ran",
            steps: vec![
                (claim("store", "k", 1, (1, 1)), Reply::Claimed),
                (settle("store", "k", (2, 1), ran()), refused(NotOwner)),
                (settle("store", "k", (1, 1), ran()), Reply::Done),
                (settle("store", "k", (1, 1), ran()), Reply::Done),
                (claim("store", "k", 1, (2, 1)), claimed_earlier(Some(ran()))),
                (settle("store", "k", (1, 1), ClaimResult::NotRun), Reply::Done),
                (claim("store", "k", 1, (2, 1)), claimed_earlier(Some(ran()))),
            ],
        },
        Case {
            name: "a request that did not run frees its key once",
            steps: vec![
                (claim("store", "k", 1, (1, 1)), Reply::Claimed),
                (settle("store", "k", (1, 1), ClaimResult::NotRun), Reply::Done),
                (claim("store", "k", 1, (1, 1)), claimed_earlier(Some(ClaimResult::NotRun))),
                (claim("store", "k", 1, (1, 2)), Reply::Claimed),
                (settle("store", "k", (1, 1), ClaimResult::NotRun), refused(NotOwner)),
                (claim("store", "k", 1, (2, 1)), claimed_earlier(None)),
            ],
        },
        Case {
            name: "a late response replaces an unknown result",
            steps: vec![
                (claim("store", "k", 1, (1, 1)), Reply::Claimed),
                (settle("store", "k", (1, 1), ClaimResult::Unknown), Reply::Done),
                (settle("store", "k", (1, 1), ClaimResult::NotRun), Reply::Done),
                (claim("store", "k", 1, (2, 1)), claimed_earlier(Some(ClaimResult::Unknown))),
                (settle("store", "k", (1, 1), ran()), Reply::Done),
                (claim("store", "k", 1, (2, 1)), claimed_earlier(Some(ran()))),
            ],
        },
    ]);
}

#[test]
fn epochs_are_granted_by_compare_and_set() {
    let granted = |epoch| Reply::Granted { epoch: Epoch(epoch) };
    run(vec![Case {
        name: "two instances race",
        steps: vec![
            (grant("akl-a", 3, 1), granted(2)),
            (grant("akl-a", 4, 1), stale(2)),
            (grant("akl-a", 3, 1), granted(2)),
            (release("akl-a", 1), stale(2)),
            (release("akl-a", 2), Reply::Done),
            (grant("akl-a", 3, 1), stale(2)),
            (grant("akl-a", 4, 2), granted(3)),
        ],
    }]);
    let mut fixture = Fixture::ready();
    fixture.apply(&release("akl-a", 1));
    let name = DataCentre::from("akl-a");
    assert_eq!(
        (fixture.ledger.epoch_holder(&name), fixture.ledger.newest_epoch(&name)),
        (None, Epoch(1))
    );
    let held: Vec<_> = fixture.ledger.epoch_holders().collect();
    assert_eq!(held, [(&"akl-b".into(), Epoch(1), InstanceId(2))]);
    assert_eq!(fixture.ledger.home_centre(TaskId(7)), Some(&"akl-b".into()));
}

#[test]
fn count_batches_are_applied_once_and_in_order() {
    let mut fixture = Fixture::ready();
    for (sequence, want) in [(5, 3), (5, 3), (4, 3), (6, 6)] {
        fixture.apply(&count(1, sequence, "store", 3));
        assert_eq!(fixture.count("store"), want, "batch {sequence}");
    }
    fixture.apply(&count(2, 1, "store", 1));
    assert_eq!(fixture.count("store"), 7, "each instance has its own sequence");
}
