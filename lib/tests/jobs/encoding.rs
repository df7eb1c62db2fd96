//! The encoding of batches and snapshots, which releases without crash counts read and write too.

use hickorylink_lib::{
    ids::{Incarnation, InstanceId},
    jobs::{
        crash::{CrashCounts, CrashEntry, CrashRecord},
        estimates::{BaselineEstimate, EstimateRecord, ImagePair, PairEstimate},
        evacuation::EvacuationOrder,
        lifecycle::JobPhase,
        model::{JobId, JobSpec, Run, StepOptions, TaskKey, WorkerNumber},
        record::{Batch, Ending, Record},
        state::State,
    },
    time::WallTime,
};

use crate::world::{job_config, node, step, task};

/// The state after [`records`] as release 964bd9d encodes it.
const OLD_STATE: &str = "\
    01010104666f6c640c666f6c642e6578616d706c65062f666f6c642f046465736b0004d00fe807b817000104\
    6465736b01000d7b2276657273696f6e223a317d010704666f6c640504737065630102e8076400e807000000\
    000000000000000000000001010001020000000000010201010468616c660000010102773109010101000a00\
    0001d836000a000001c03e05616b6c2d610104666f6c640001";

/// A batch of [`records`] as release 964bd9d encodes it.
const OLD_BATCH: &str = "\
    01030700010104666f6c640c666f6c642e6578616d706c65062f666f6c642f046465736b0004d00fe807b817\
    0001046465736b01000d7b2276657273696f6e223a317d010704666f6c640504737065630102e8076400e807\
    00000000000000000000000000000701000a000001d836000a000001c03e05616b6c2d610301027731090507\
    0000010101060700000101010468616c6605070000010201";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<_> = hex.bytes().collect();
    let pair =
        |pair: &[u8]| std::str::from_utf8(pair).ok().map(|pair| u8::from_str_radix(pair, 16));
    digits.chunks(2).map(|digits| pair(digits).expect("ASCII").expect("a byte")).collect()
}

fn key() -> TaskKey {
    task(JobId(7), 0, 1)
}

fn records() -> Vec<Record> {
    let (id, task, worker) = (JobId(7), key(), WorkerNumber(1));
    let spec = JobSpec { text: "spec".into(), steps: vec![step(2)], schedule: None };
    let (ending, checkpoint) = (Ending::Failed, "half".into());
    vec![
        Record::Configure(job_config(1)),
        Record::Submit { id, queue: "fold".into(), at: WallTime(5), spec },
        Record::Node(node(1, 1)),
        Record::AddWorker { number: worker, name: "w1".into(), incarnation: Incarnation(9) },
        Record::Start { task, run: Run(1), worker },
        Record::End { task, run: Run(1), ending, checkpoint },
        Record::Start { task, run: Run(2), worker },
    ]
}

fn batch(crashes: u32) -> Batch {
    let records = records();
    let after = u32::try_from(records.len()).expect("a few records");
    let blame = || CrashEntry { after, record: CrashRecord::Blame { tasks: vec![key()] } };
    let crashes = (0..crashes).map(|_| blame()).collect();
    Batch {
        origin: InstanceId(1),
        number: 3,
        records,
        crashes,
        evacuations: Vec::new(),
        estimates: EstimateRecord::default(),
        cancels: Vec::new(),
    }
}

fn state(crashes: u32) -> State {
    let (mut state, mut changes) = (State::default(), Vec::new());
    state.apply_batch(&batch(crashes), &mut changes);
    state
}

/// Regression: a task's crashes were counted nowhere. They now survive in batches and snapshots,
/// and what an older release wrote still has its meaning.
#[test]
fn crash_counts_survive_in_batches_and_snapshots() {
    struct Case {
        name: &'static str,
        batch: Vec<u8>,
        state: Vec<u8>,
        want: u32,
        phase: JobPhase,
    }
    let current = |name, crashes, want, phase| Case {
        name,
        batch: batch(crashes).encode(),
        state: state(crashes).encode(),
        want,
        phase,
    };
    let cases = [
        Case {
            name: "written by an older release",
            batch: bytes(OLD_BATCH),
            state: bytes(OLD_STATE),
            want: 0,
            phase: JobPhase::Active,
        },
        current("no crash", 0, 0, JobPhase::Active),
        current("two crashes", 2, 2, JobPhase::Active),
        // The counts of a job that has ended aren't needed any more.
        current("three crashes", 3, 0, JobPhase::Failed),
    ];
    for case in cases {
        let decoded = Batch::decode(&case.batch).expect("a batch can be decoded");
        let (mut applied, mut changes) = (State::default(), Vec::new());
        applied.apply_batch(&decoded, &mut changes);
        let restored = State::decode(&case.state).expect("a snapshot can be decoded");
        for (way, state) in [("applied", &applied), ("restored", &restored)] {
            assert_eq!(state.crashes.of(&key()), case.want, "{}, {way}", case.name);
            assert_eq!(state.jobs[&JobId(7)].phase, case.phase, "{}, {way}", case.name);
        }
        assert_eq!(applied, restored, "{}", case.name);
    }
}

/// Guards against a checkpoint of a gang that a snapshot loses, or that an older release can't skip.
#[test]
fn gangs_survive_in_snapshots() {
    struct Case {
        name: &'static str,
        crashes: u32,
        checkpoint: &'static str,
    }
    let cases = [
        Case { name: "neither", crashes: 0, checkpoint: "" },
        Case { name: "a checkpoint", crashes: 0, checkpoint: "w6" },
        Case { name: "a crash", crashes: 2, checkpoint: "" },
        Case { name: "both", crashes: 2, checkpoint: "w6" },
    ];
    for case in cases {
        let mut batch = batch(case.crashes);
        let gang = StepOptions { gang: true, ..StepOptions::default() };
        for record in &mut batch.records {
            match record {
                Record::Submit { spec, .. } => spec.steps[0].options = gang,
                Record::End { ending, checkpoint, .. } => {
                    (*ending, *checkpoint) = (Ending::GangBroken, case.checkpoint.into());
                }
                _ => {}
            }
        }
        let mut state = State::default();
        state.apply_batch(&batch, &mut Vec::new());
        assert_eq!(state.checkpoint(&key()), case.checkpoint, "{}", case.name);
        let encoded = state.encode();
        assert_eq!(State::decode(&encoded).ok(), Some(state), "{}", case.name);
        let old: State = postcard::from_bytes(&encoded).expect("an older release can decode it");
        assert!(old.gangs.is_empty(), "{}", case.name);
    }
}

/// Guards against a returned worker that a snapshot turns into a new one.
#[test]
fn returned_workers_survive_in_snapshots() {
    struct Case {
        name: &'static str,
        crashes: u32,
        /// What happens to the only worker after [`records`].
        records: Vec<Record>,
        want: bool,
    }
    let (first, second) = (WorkerNumber(1), WorkerNumber(2));
    let removed = || Record::RemoveWorker { worker: first };
    let added = |incarnation| Record::AddWorker {
        number: second,
        name: "w1".into(),
        incarnation: Incarnation(incarnation),
    };
    let cases = [
        Case { name: "present", crashes: 0, records: vec![], want: false },
        Case { name: "removed", crashes: 0, records: vec![removed()], want: false },
        Case { name: "returned", crashes: 0, records: vec![removed(), added(9)], want: true },
        Case { name: "after a crash", crashes: 2, records: vec![removed(), added(9)], want: true },
        Case { name: "born again", crashes: 0, records: vec![removed(), added(10)], want: false },
    ];
    for case in cases {
        let mut state = state(case.crashes);
        for record in &case.records {
            state.apply(record, &mut Vec::new());
        }
        assert_eq!(state.returns.has_returned(second), case.want, "{}", case.name);
        let encoded = state.encode();
        assert_eq!(State::decode(&encoded).ok(), Some(state), "{}", case.name);
        let old: State = postcard::from_bytes(&encoded).expect("an older release can decode it");
        assert!(old.returns.is_empty(), "{}", case.name);
    }
}

/// Regression: an older release that runs beside this one during an upgrade reads what this one
/// writes, without the crash counts.
#[test]
fn older_releases_read_batches_and_snapshots() {
    struct Case {
        name: &'static str,
        crashes: u32,
    }
    let cases = [Case { name: "no crash", crashes: 0 }, Case { name: "two crashes", crashes: 2 }];
    for case in cases {
        let (batch, state) = (batch(case.crashes).encode(), state(case.crashes).encode());
        assert!(batch.starts_with(&bytes(OLD_BATCH)), "{}", case.name);
        assert!(state.starts_with(&bytes(OLD_STATE)), "{}", case.name);
        // The older release decodes with `postcard::from_bytes`, which ignores further bytes.
        let old: Batch = postcard::from_bytes(&batch).expect("a batch can be decoded");
        assert_eq!((old.records, old.crashes), (records(), Vec::new()), "{}", case.name);
        let old: State = postcard::from_bytes(&state).expect("a snapshot can be decoded");
        assert!(old.crashes.is_empty(), "{}", case.name);
    }
}

fn estimates(pairs: usize) -> EstimateRecord {
    let pair = |at: usize| {
        let opportunistic = format!("batch-{at}").as_str().into();
        let (mean, variance) = ((0.1 + at as f32).into(), f32::MIN_POSITIVE.into());
        let estimate = PairEstimate { mean, variance, samples: u32::MAX };
        (ImagePair { serving: "desk".into(), opportunistic }, estimate)
    };
    let baseline = BaselineEstimate { mean: 4.2.into(), samples: 7 };
    EstimateRecord {
        pairs: (0..pairs).map(pair).collect(),
        baselines: (0..pairs.min(1)).map(|_| ("desk".into(), baseline)).collect(),
    }
}

/// Guards against estimates that a snapshot loses, or that an earlier release can't skip: one without crash
/// counts, or one with them and without estimates.
#[test]
fn estimates_survive_in_batches_and_snapshots() {
    struct Case {
        name: &'static str,
        crashes: u32,
        pairs: usize,
    }
    let cases = [
        Case { name: "neither", crashes: 0, pairs: 0 },
        Case { name: "a crash", crashes: 2, pairs: 0 },
        Case { name: "estimates", crashes: 0, pairs: 3 },
        Case { name: "both", crashes: 2, pairs: 3 },
    ];
    for case in cases {
        let batch = Batch { estimates: estimates(case.pairs), ..batch(case.crashes) };
        let encoded = batch.encode();
        let decoded = Batch::decode(&encoded).expect("a batch can be decoded");
        assert_eq!(decoded, batch, "{}", case.name);
        let mut state = State::default();
        state.apply_batch(&decoded, &mut Vec::new());
        assert_eq!(state.estimates.len(), case.pairs, "{}", case.name);
        let snapshot = state.encode();
        assert_eq!(State::decode(&snapshot).ok().as_ref(), Some(&state), "{}", case.name);

        let (old, rest): (Batch, _) = postcard::take_from_bytes(&encoded).expect("a batch");
        assert_eq!((old.records, old.estimates.is_empty()), (records(), true), "{}", case.name);
        let (old, more): (State, _) = postcard::take_from_bytes(&snapshot).expect("a snapshot");
        assert!(old.estimates.is_empty(), "{}", case.name);
        assert_eq!(rest.is_empty(), case.crashes == 0 && case.pairs == 0, "{}", case.name);
        assert_eq!(more.is_empty(), rest.is_empty(), "{}", case.name);
        if !rest.is_empty() {
            let crashes: Vec<CrashEntry> = postcard::from_bytes(rest).expect("crash counts");
            assert_eq!(crashes, batch.crashes, "{}", case.name);
            let crashes: CrashCounts = postcard::from_bytes(more).expect("crash counts");
            assert_eq!(crashes, state.crashes, "{}", case.name);
        }
        // A damaged extension is an error of the whole.
        if case.pairs > 0 {
            assert!(Batch::decode(&encoded[..encoded.len() - 1]).is_err(), "{}", case.name);
            assert!(State::decode(&snapshot[..snapshot.len() - 1]).is_err(), "{}", case.name);
        }
    }
    for (name, release) in [("batch", OLD_BATCH), ("state", OLD_STATE)] {
        let is_empty = match name {
            "batch" => Batch::decode(&bytes(release)).map(|batch| batch.estimates.is_empty()),
            _ => State::decode(&bytes(release)).map(|state| state.estimates.is_empty()),
        };
        assert!(is_empty.is_ok_and(|empty| empty), "{name} of an earlier release");
    }
}

/// Guards against a large batch that loses its estimates, or applies them more than once, when it is split.
#[test]
fn a_split_batch_keeps_its_estimates() {
    let batch = Batch { estimates: estimates(3), ..batch(2) };
    let parts = batch.clone().split(40);
    assert!(parts.len() > 2, "{}", parts.len());
    let (mut whole, mut split) = (State::default(), State::default());
    whole.apply_batch(&batch, &mut Vec::new());
    for part in &parts {
        split.apply_batch(part, &mut Vec::new());
    }
    assert_eq!(split, whole);
}

/// Guards against evacuations that a batch or a snapshot loses or that an older release can't skip, and
/// against bytes of an older release that this one can't read.
#[test]
fn evacuations_survive_in_batches_and_snapshots() {
    struct Case {
        name: &'static str,
        crashes: u32,
        orders: Vec<EvacuationOrder>,
        want: &'static [&'static str],
    }
    let begin = |centre: &str| EvacuationOrder::Begin { centre: centre.into() };
    let cancel = |centre: &str| EvacuationOrder::Cancel { centre: centre.into() };
    const A: &str = "akl-a";
    const B: &str = "akl-b";
    let cases = [
        Case { name: "none", crashes: 0, orders: vec![], want: &[] },
        Case { name: "one", crashes: 0, orders: vec![begin(A)], want: &[A] },
        Case { name: "after crashes", crashes: 2, orders: vec![begin(A)], want: &[A] },
        Case { name: "two", crashes: 0, orders: vec![begin(B), begin(A)], want: &[A, B] },
        Case { name: "cancelled", crashes: 0, orders: vec![begin(A), cancel(A)], want: &[] },
        Case {
            name: "cancelled before",
            crashes: 2,
            orders: vec![cancel(A), begin(A)],
            want: &[A],
        },
    ];
    for case in cases {
        let batch = Batch { evacuations: case.orders, ..batch(case.crashes) };
        let encoded = batch.encode();
        assert!(encoded.starts_with(&bytes(OLD_BATCH)), "{}", case.name);
        let old: Batch = postcard::from_bytes(&encoded).expect("an older release can decode it");
        assert_eq!((old.records, old.evacuations), (records(), Vec::new()), "{}", case.name);
        let decoded = Batch::decode(&encoded).expect("a batch can be decoded");
        assert_eq!(decoded, batch, "{}", case.name);
        let mut state = State::default();
        state.apply_batch(&decoded, &mut Vec::new());
        let centres: Vec<_> = state.evacuations.iter().map(|centre| centre.as_str()).collect();
        assert_eq!(centres, case.want, "{}", case.name);
        let encoded = state.encode();
        assert!(encoded.starts_with(&bytes(OLD_STATE)), "{}", case.name);
        assert_eq!(State::decode(&encoded).ok(), Some(state), "{}", case.name);
        let old: State = postcard::from_bytes(&encoded).expect("an older release can decode it");
        assert!(old.evacuations.is_empty(), "{}", case.name);
    }
    let old = Batch::decode(&bytes(OLD_BATCH)).expect("a batch can be decoded");
    assert_eq!(old.evacuations, Vec::new(), "written by an older release");
    let old = State::decode(&bytes(OLD_STATE)).expect("a snapshot can be decoded");
    assert!(old.evacuations.is_empty(), "written by an older release");
}

/// Guards against evacuations and estimates that are encoded in different orders by a batch and its decoder, or
/// by a snapshot and its decoder, and against parts of a split batch that lose one of them.
#[test]
fn evacuations_and_estimates_survive_together() {
    let evacuations = vec![EvacuationOrder::Begin { centre: "akl-a".into() }];
    for crashes in [0, 2] {
        let batch = batch(crashes);
        let batch = Batch { evacuations: evacuations.clone(), estimates: estimates(3), ..batch };
        let encoded = batch.encode();
        let (_, rest): (Batch, _) = postcard::take_from_bytes(&encoded).expect("a batch");
        let (_, rest): (Vec<CrashEntry>, _) =
            postcard::take_from_bytes(rest).expect("crash counts");
        let orders: Vec<EvacuationOrder> = postcard::from_bytes(rest)
            .expect("a release without estimates can decode the evacuations");
        assert_eq!(orders, evacuations, "{crashes} crashes");
        assert_eq!(Batch::decode(&encoded).ok().as_ref(), Some(&batch), "{crashes} crashes");

        let mut whole = State::default();
        whole.apply_batch(&batch, &mut Vec::new());
        assert_eq!((whole.evacuations.iter().count(), whole.estimates.len()), (1, 3));
        assert_eq!(State::decode(&whole.encode()).ok().as_ref(), Some(&whole));

        let parts = batch.split(40);
        assert!(parts.len() > 2, "{}", parts.len());
        let mut split = State::default();
        for part in &parts {
            let part = Batch::decode(&part.encode()).expect("a batch can be decoded");
            split.apply_batch(&part, &mut Vec::new());
        }
        assert_eq!(split, whole, "{crashes} crashes");
    }
}

/// Guards against early cancellations that a batch, its parts or a snapshot lose, or that an older release
/// can't skip.
#[test]
fn early_cancels_survive_in_batches_and_snapshots() {
    struct Case {
        name: &'static str,
        crashes: u32,
        pairs: usize,
        cancels: &'static [u64],
        want: &'static [u64],
    }
    let cases = [
        Case { name: "none", crashes: 0, pairs: 0, cancels: &[], want: &[] },
        Case { name: "alone", crashes: 0, pairs: 0, cancels: &[9, 8], want: &[8, 9] },
        Case { name: "behind the others", crashes: 2, pairs: 3, cancels: &[8], want: &[8] },
        // A leader of an older release may submit a job that was cancelled early.
        Case { name: "submitted", crashes: 0, pairs: 0, cancels: &[7, 8], want: &[8] },
    ];
    for case in cases {
        let cancels = case.cancels.iter().copied().map(JobId).collect();
        let estimates = estimates(case.pairs);
        let batch = Batch { cancels, estimates, ..batch(case.crashes) };
        let encoded = batch.encode();
        assert!(encoded.starts_with(&bytes(OLD_BATCH)), "{}", case.name);
        assert_eq!(Batch::decode(&encoded).ok().as_ref(), Some(&batch), "{}", case.name);
        let mut state = State::default();
        state.apply_batch(&batch, &mut Vec::new());
        let kept: Vec<u64> = state.cancels.iter().map(|id| id.0).collect();
        assert_eq!(kept, case.want, "{}", case.name);
        let snapshot = state.encode();
        assert!(snapshot.starts_with(&bytes(OLD_STATE)), "{}", case.name);
        assert_eq!(State::decode(&snapshot).ok().as_ref(), Some(&state), "{}", case.name);
        let mut split = State::default();
        for part in batch.split(40) {
            let part = Batch::decode(&part.encode()).expect("a batch can be decoded");
            split.apply_batch(&part, &mut Vec::new());
        }
        assert_eq!(split, state, "{}", case.name);
        let forget = Record::Forget { jobs: case.cancels.iter().copied().map(JobId).collect() };
        state.apply(&forget, &mut Vec::new());
        assert!(state.cancels.is_empty(), "{}", case.name);
    }
}
