//! Runs that leave a worker that has shrunk below what it runs.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        model::{JobId, Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, World, step};

const BATCH: JobId = JobId(1);
const LASTING: JobId = JobId(2);

fn batch(options: StepOptions) -> Step {
    Step { estimate: 60_000, options, ..step(2) }
}

fn processors(count: u64) -> Resources {
    Resources { millicores: count * 1000, memory_mib: 4000, accelerators: 0 }
}

/// Regression: runs stayed on a worker that had shrunk below what it ran, whatever room there was
/// elsewhere.
#[test]
fn runs_leave_a_worker_that_has_shrunk() {
    struct Case {
        name: &'static str,
        batch: Step,
        disruptable: u32,
        /// The capacity of the worker after it has shrunk, and for how long it has it.
        after: Resources,
        span: Duration,
        /// The capacity of another worker.
        elsewhere: Resources,
        /// The tasks of the job that ends and of the job that lasts that are stopped.
        want: [usize; 2],
    }
    let saved = StepOptions { checkpoints: true, ..StepOptions::default() };
    let filling = StepOptions { opportunistic: true, ..saved };
    let long = Duration::from_secs(12);
    let large = Step {
        needs: Resources { millicores: 100, memory_mib: 1500, accelerators: 0 },
        ..batch(filling)
    };
    let less_memory = Resources { memory_mib: 2000, ..processors(4) };
    let cases = [
        Case {
            name: "one run too many",
            batch: batch(saved),
            disruptable: 1,
            after: processors(3),
            span: long,
            elsewhere: processors(4),
            want: [1, 0],
        },
        Case {
            name: "tasks that last follow those that end",
            batch: batch(saved),
            disruptable: 1,
            after: processors(1),
            span: long,
            elsewhere: processors(4),
            want: [2, 1],
        },
        Case {
            name: "nothing is left",
            batch: batch(saved),
            disruptable: 1,
            after: Resources::ZERO,
            span: long,
            elsewhere: processors(4),
            want: [2, 2],
        },
        Case {
            name: "no room elsewhere",
            batch: batch(saved),
            disruptable: 1,
            after: processors(1),
            span: long,
            elsewhere: Resources::ZERO,
            want: [0, 0],
        },
        Case {
            name: "room for one task elsewhere",
            batch: batch(saved),
            disruptable: 1,
            after: processors(1),
            span: long,
            elsewhere: processors(1),
            want: [1, 0],
        },
        Case {
            name: "no disruption allowed",
            batch: batch(saved),
            disruptable: 0,
            after: Resources::ZERO,
            span: long,
            elsewhere: processors(4),
            want: [2, 0],
        },
        Case {
            name: "no checkpoints",
            batch: batch(StepOptions::default()),
            disruptable: 1,
            after: processors(2),
            span: long,
            elsewhere: processors(4),
            want: [0, 2],
        },
        Case {
            name: "briefly",
            batch: batch(saved),
            disruptable: 1,
            after: Resources::ZERO,
            span: Duration::from_millis(300),
            elsewhere: processors(4),
            want: [0, 0],
        },
        Case {
            name: "opportunistic, less memory",
            batch: large,
            disruptable: 1,
            after: less_memory,
            span: long,
            elsewhere: processors(4),
            want: [1, 0],
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        (first.percent, second.percent) = (100, 100);
        second.capacity = case.elsewhere;
        world.submit(BATCH.0, vec![case.batch]);
        let options = StepOptions {
            long_running: true,
            disruptable: case.disruptable,
            ..StepOptions::default()
        };
        world.submit(LASTING.0, vec![Step { options, ..step(2) }]);
        world.heartbeat(&mut first);
        world.heartbeat(&mut first);
        assert_eq!(first.running.len(), 4, "{}", case.name);
        first.capacity = case.after;
        let end = world.now + case.span;
        let mut stopped = [0, 0];
        while world.now < end {
            for worker in [&mut first, &mut second] {
                world.heartbeat(worker);
            }
            let lasting = first.stopped.iter().filter(|task| task.job == LASTING).count();
            assert!(lasting <= case.disruptable as usize, "{}: {lasting} at once", case.name);
            stopped[0] += first.stopped.len() - lasting;
            stopped[1] += lasting;
            first.stopped.clear();
            assert!(second.ended.iter().all(|ended| ended.ending != Ending::Stopped));
        }
        assert_eq!(stopped, case.want, "{}", case.name);
        let lasting = [&first, &second].into_iter().flat_map(|worker| worker.running.keys());
        let lasting = lasting.filter(|task| task.job == LASTING).count();
        assert_eq!(lasting, 2, "{}: all tasks that last run", case.name);
    }
}
