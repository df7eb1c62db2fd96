//! Orders about data centres while controllers fail.

use std::time::Duration;

use hickorylink_lib::jobs::{
    call::{OperatorReply, OperatorRequest},
    controller::{Answer, Event},
    evacuation::EvacuationOrder,
};

use crate::{
    data_centres::{FIRST, SECOND, begin, cancel},
    deployment::Deployment,
};

fn evacuated(deployment: &Deployment, host: u8) -> Vec<String> {
    let evacuations = &deployment.controller(host).committed().evacuations;
    evacuations.iter().map(ToString::to_string).collect()
}

fn send(deployment: &mut Deployment, host: u8, order: &EvacuationOrder) -> u64 {
    let request = OperatorRequest::Evacuation(order.clone());
    deployment.send(host, |ticket| Event::Operator { ticket, request })
}

fn is_stored(deployment: &Deployment, ticket: u64) -> bool {
    let answer = deployment.operator_answers.get(&ticket);
    matches!(answer, Some(Answer::Operator(OperatorReply::Stored)))
}

/// Repeats an order at any controller until it is acknowledged.
fn retry(deployment: &mut Deployment, order: &EvacuationOrder) {
    for _ in 0..100 {
        for host in deployment.running() {
            let ticket = send(deployment, host, order);
            deployment.advance(Duration::from_millis(200));
            if is_stored(deployment, ticket) {
                return;
            }
        }
    }
    panic!("{order:?} isn't acknowledged");
}

/// What happens to the leader after it has received the orders.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// It is killed before it can have committed them.
    BeforeCommit,
    /// It is killed once it has acknowledged them.
    AfterCommit,
    /// It is cut off from all others before it can have committed them, and heals later.
    Cut,
}

/// Guards against an acknowledged order that the next leader doesn't have, and against an order whose outcome
/// is unknown and that can't be repeated.
#[test]
fn acknowledged_orders_survive_the_leader() {
    struct Case {
        name: &'static str,
        fault: Fault,
        /// The orders that were committed before.
        before: Vec<EvacuationOrder>,
        orders: Vec<EvacuationOrder>,
        want: &'static [&'static str],
    }
    let both = || vec![begin(FIRST), begin(SECOND), cancel(FIRST)];
    let base =
        || Case { name: "", fault: Fault::None, before: vec![], orders: both(), want: &[SECOND] };
    let single =
        |name, fault| Case { name, fault, orders: vec![begin(FIRST)], want: &[FIRST], ..base() };
    let taken_back = |name, fault| Case {
        name,
        fault,
        before: vec![begin(FIRST)],
        orders: vec![cancel(FIRST)],
        want: &[],
    };
    let cases = [
        Case { name: "no fault", ..base() },
        Case { name: "after the commit", fault: Fault::AfterCommit, ..base() },
        single("before the commit", Fault::BeforeCommit),
        single("cut off", Fault::Cut),
        taken_back("the cancellation before the commit", Fault::BeforeCommit),
        taken_back("the cancellation, cut off", Fault::Cut),
    ];
    for (seed, case) in (1..).zip(cases) {
        let mut deployment = Deployment::new(5, seed);
        case.before.iter().for_each(|order| retry(&mut deployment, order));
        let leader = deployment.leader().expect("a leader");
        if matches!(case.fault, Fault::Cut) {
            deployment.cut(leader);
        }
        let tickets: Vec<_> =
            case.orders.iter().map(|order| send(&mut deployment, leader, order)).collect();
        match case.fault {
            Fault::None => deployment.advance(Duration::from_millis(500)),
            Fault::BeforeCommit => {
                deployment.advance(Duration::from_millis(10));
                deployment.kill(leader);
            }
            Fault::AfterCommit => {
                deployment.wait("the acknowledgement", |d| {
                    tickets.iter().all(|ticket| d.operator_answers.contains_key(ticket))
                });
                deployment.kill(leader);
            }
            Fault::Cut => deployment.advance(Duration::from_secs(4)),
        }
        let acknowledged = tickets.iter().all(|ticket| is_stored(&deployment, *ticket));
        let committed = matches!(case.fault, Fault::None | Fault::AfterCommit);
        assert_eq!(acknowledged, committed, "{}", case.name);
        if !committed {
            for order in &case.orders {
                retry(&mut deployment, order);
            }
        }
        deployment.heal(leader);
        deployment.wait("a leader", |d| d.leader().is_some());
        deployment.advance(Duration::from_secs(2));
        for host in deployment.running() {
            assert_eq!(evacuated(&deployment, host), case.want, "{}, host {host}", case.name);
        }
    }
}

/// Guards against controllers with an empty disk that get a snapshot without the evacuations.
#[test]
fn evacuations_survive_lost_disks() {
    let mut deployment = Deployment::new(5, 7);
    retry(&mut deployment, &begin(FIRST));
    // Enough entries for a snapshot.
    for _ in 0..40 {
        deployment.submit();
        deployment.advance(Duration::from_millis(100));
    }
    for host in deployment.hosts() {
        deployment.kill(host);
        deployment.lose_disk(host, &[1, 2, 3, 4, 5]);
        deployment.advance(Duration::from_secs(1));
        deployment.restart(host);
        deployment.wait("the members", |d| d.members_error().is_none());
        deployment.advance(Duration::from_secs(4));
    }
    for host in deployment.running() {
        assert_eq!(evacuated(&deployment, host), [FIRST], "host {host}");
    }
}
