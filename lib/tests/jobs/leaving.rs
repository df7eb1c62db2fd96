//! Workers that leave at the time that they have announced.

use std::time::Duration;

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        controller::{Answer, Effect, Event, LogEvent},
        lifecycle::JobPhase,
        model::{Step, StepOptions, TaskKey},
        record::Ending,
        response::HeartbeatResponse,
    },
    time::Time,
};

use crate::world::{FakeWorker, LEASE, MARGIN, STOP, World, step, task};

const TICK: Duration = Duration::from_millis(10);

/// How long after an end a worker sends its next heartbeat.
const END_DELAY: Duration = Duration::from_millis(50);

/// A worker that leaves at the time that it has announced, whatever runs there, and that takes as long as it may to
/// stop a run.
struct Leaver {
    worker: FakeWorker,
    leaves_at: Time,
    /// When its only run is done, if it isn't stopped before.
    done_at: Time,
    stopped_at: Option<Time>,
    /// When the next heartbeat is due; `None` while it waits for a response.
    next: Option<Time>,
    sent: Option<u64>,
}

impl Leaver {
    /// Lets its run end when it is due.
    fn run(&mut self, now: Time, task: TaskKey) {
        if !self.worker.running.contains_key(&task) {
            return;
        }
        let stopped = self.stopped_at.is_some_and(|at| at <= now);
        if self.done_at <= now || stopped {
            let ending = if self.done_at <= now { Ending::Done } else { Ending::Stopped };
            self.worker.end(task, ending);
            self.next = self.next.map(|next| next.min(now + END_DELAY));
        }
    }

    fn heartbeat(&mut self, world: &mut World) {
        if let Some(ticket) = self.sent
            && let Some(Answer::Heartbeat(response)) = world.answers.get(&ticket)
        {
            if !response.stops.is_empty() {
                self.stopped_at.get_or_insert(world.now + STOP);
            }
            let response = HeartbeatResponse { stops: Vec::new(), ..response.clone() };
            self.worker.apply(&response);
            (self.sent, self.next) = (None, Some(world.now + response.next_heartbeat));
        }
        if self.next.is_some_and(|next| next <= world.now) {
            let left = world.now.until(self.leaves_at).as_millis();
            self.worker.leaving = u64::try_from(left).ok();
            let report = Box::new(self.worker.report());
            self.sent = Some(world.send(|ticket| Event::Heartbeat { ticket, report }));
            self.next = None;
        }
    }
}

/// Guards against tasks that start again although they are done: their runs end just before their worker leaves, and
/// no heartbeat lists these ends.
#[test]
fn no_run_is_left_when_a_worker_leaves() {
    struct Case {
        name: &'static str,
        /// How long the worker stays after its notice, in milliseconds.
        stays: u64,
        /// How long after the notice the run is done if it isn't stopped, in milliseconds.
        done: u64,
        checkpoints: bool,
        want: Want,
    }
    #[derive(Debug, PartialEq)]
    enum Want {
        /// The run is done on the worker that leaves.
        Done,
        /// It is stopped, and the task starts again elsewhere.
        Stopped,
    }
    use Want::{Done, Stopped};
    let case = |name, stays, done, want| Case { name, stays, done, checkpoints: false, want };
    let cases = [
        case("done in time", 2000, 1000, Done),
        case("done just in time", 2000, 1500, Done),
        case("done just before it leaves", 2000, 1980, Stopped),
        case("done when it leaves", 2000, 2000, Stopped),
        case("not done", 2000, 8000, Stopped),
        case("a short notice", 300, 280, Stopped),
        case("no notice", 0, 8000, Stopped),
        case("a long notice", 9000, 8000, Done),
        Case { checkpoints: true, ..case("checkpoints, done in time", 2000, 1000, Done) },
        Case { checkpoints: true, ..case("checkpoints, not done", 2000, 1980, Stopped) },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let options = StepOptions { checkpoints: case.checkpoints, ..StepOptions::default() };
        let job = world.submit(7, vec![Step { options, ..step(1) }]);
        let task = task(job, 0, 0);
        world.heartbeat(&mut first).expect("a response");
        let begun = world.now;
        world.heartbeat(&mut second).expect("a response");
        let notice = world.now;
        let at = |millis| notice + Duration::from_millis(millis);
        let (leaves_at, done_at) = (at(case.stays), at(case.done));
        let (stopped_at, next, sent) = (None, Some(notice), None);
        let mut leaver = Leaver { worker: first, leaves_at, done_at, stopped_at, next, sent };
        // A worker without notice exits once its last run has been stopped.
        let exits = leaves_at.max(at(if case.stays == 0 { 1000 } else { 0 }));
        while world.now < exits {
            let length = done_at.since(begun).as_millis();
            let percent = 100 * world.now.since(begun).as_millis() / length;
            leaver.worker.percent = u8::try_from(percent.min(99)).expect("a percentage");
            leaver.run(world.now, task);
            leaver.heartbeat(&mut world);
            world.advance(TICK);
        }
        let done = world.phase(7) == JobPhase::Completed;
        let want_done = case.want == Done;
        assert_eq!(done, want_done, "{}: done", case.name);
        let (name, incarnation) = ("w1".into(), Some(Incarnation(1)));
        world.sent.clear();
        world.send(|ticket| Event::Leave { ticket, name, incarnation, ended: Vec::new() });
        let unknown: Vec<_> = world.sent.iter().filter_map(unknown_ends).collect();
        assert_eq!(unknown, [0], "{}: runs without a known end", case.name);
        world.heartbeat(&mut second);
        assert_eq!(second.started.is_empty(), want_done, "{}: {:?}", case.name, second.started);
        world.advance(LEASE + MARGIN + Duration::from_secs(1));
        world.heartbeat(&mut second);
        assert!(second.started.len() <= 1, "{}: {:?}", case.name, second.started);
    }
}

/// The number of runs without a known end, if a worker leaves.
fn unknown_ends(effect: &Effect) -> Option<usize> {
    match effect {
        Effect::LogEvent(LogEvent::Leave { runs, .. }) => Some(*runs),
        _ => None,
    }
}
