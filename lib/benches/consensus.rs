//! The processor time of consensus: whole groups in memory, without disks or a network.

use std::{collections::VecDeque, fmt, time::Duration};

use bytes::Bytes;
use divan::{Bencher, counter::ItemsCount};
use hickorylink_lib::{
    consensus::{
        Consensus,
        chart::Role,
        log::{Members, Recovered},
        port::{Config, Effect, Event},
    },
    ids::{InstanceId, Ticket},
    time::Time,
};

/// The number of proposals in a run.
const PROPOSALS: usize = 1_000;

/// The number of proposals that arrive together.
const BURST: usize = 16;

/// The size of a command, in bytes.
const COMMAND_BYTES: usize = 128;

/// The number of members of each kind.
#[derive(Clone, Copy)]
struct Shape {
    voters: u64,
    learners: u64,
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} voters, {} learners", self.voters, self.learners)
    }
}

const SHAPES: [Shape; 5] = [
    Shape { voters: 1, learners: 0 },
    Shape { voters: 3, learners: 0 },
    Shape { voters: 5, learners: 0 },
    Shape { voters: 3, learners: 4 },
    Shape { voters: 3, learners: 12 },
];

struct Cluster {
    machines: Vec<Consensus>,
    queue: VecDeque<(usize, Event)>,
    effects: Vec<Effect>,
    applied: usize,
}

impl Cluster {
    fn new(Shape { voters, learners }: Shape) -> Self {
        let ids = |from: u64, to: u64| (from..=to).map(InstanceId).collect::<Vec<_>>();
        let members =
            Members { voters: ids(1, voters), learners: ids(voters + 1, voters + learners) };
        let machine = |me| {
            let config = Config {
                me,
                heartbeat_interval: Duration::from_millis(100),
                election_timeout: Duration::from_millis(500),
                max_batch_bytes: 64 * 1024,
                max_inflight: 16,
                chunk_bytes: 64 * 1024,
                max_pending: 4_096,
                catch_up_margin: 1_024,
                replace_after: Duration::from_secs(30),
            };
            Consensus::new(config, Recovered::default(), &members, Time::default(), 1)
        };
        let machines = members.all().map(machine).collect();
        let mut cluster =
            Self { machines, queue: VecDeque::new(), effects: Vec::new(), applied: 0 };
        cluster.feed(0, Event::Timer);
        assert_eq!(cluster.machines[0].status().role, Role::Leader);
        cluster
    }

    /// Handles an event and all events that follow from it.
    fn feed(&mut self, at: usize, event: Event) {
        self.queue.push_back((at, event));
        while let Some((at, event)) = self.queue.pop_front() {
            let now = Time::from_millis(2_000);
            self.machines[at].handle(now, event, &mut self.effects);
            for effect in std::mem::take(&mut self.effects) {
                self.run_effect(at, effect);
            }
        }
    }

    fn run_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let from = InstanceId(at as u64 + 1);
                let to = usize::try_from(to.0 - 1).expect("few members");
                self.queue.push_back((to, Event::Receive { from, message }));
            }
            Effect::Store(write) => {
                self.queue.push_back((at, Event::Stored { sequence: write.sequence }));
            }
            Effect::Apply(entries) if at == 0 => self.applied += entries.len(),
            Effect::Apply(_)
            | Effect::Restore(_)
            | Effect::Accepted { .. }
            | Effect::Rejected { .. }
            | Effect::ReadReady { .. }
            | Effect::ReadFailed { .. }
            | Effect::RoleChanged { .. }
            | Effect::SteppedDown(_)
            | Effect::Unhandled { .. } => {}
        }
    }

    /// Commits `PROPOSALS` proposals that arrive in bursts of `burst`.
    fn commit(&mut self, burst: usize, command: &Bytes) {
        for first in (0..PROPOSALS).step_by(burst) {
            for ticket in first + 1..PROPOSALS.min(first + burst) {
                let propose =
                    Event::Propose { ticket: Ticket(ticket as u64), command: command.clone() };
                self.queue.push_back((0, propose));
            }
            let propose = Event::Propose { ticket: Ticket(first as u64), command: command.clone() };
            self.feed(0, propose);
        }
        assert!(self.applied >= PROPOSALS, "everything is committed");
    }
}

/// The total processor time of all members per committed entry, with proposals in bursts.
#[divan::bench(args = SHAPES)]
fn commit_in_bursts(bencher: Bencher<'_, '_>, shape: Shape) {
    let command = Bytes::from(vec![7; COMMAND_BYTES]);
    bencher
        .counter(ItemsCount::new(PROPOSALS))
        .with_inputs(|| Cluster::new(shape))
        .bench_local_values(|mut cluster| cluster.commit(BURST, &command));
}

/// The total processor time of all members per committed entry, with one proposal at a time.
#[divan::bench(args = SHAPES)]
fn commit_one_by_one(bencher: Bencher<'_, '_>, shape: Shape) {
    let command = Bytes::from(vec![7; COMMAND_BYTES]);
    bencher
        .counter(ItemsCount::new(PROPOSALS))
        .with_inputs(|| Cluster::new(shape))
        .bench_local_values(|mut cluster| cluster.commit(1, &command));
}

fn main() {
    divan::main();
}
