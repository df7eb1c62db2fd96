//! Measures the syncs and log entries per second by batch size, and the time of a restart with a long
//! log.
//!
//! The entries contain commands and are written to a real folder.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hickorylink_cli::storage::{Folder, Identity, MAX_SEGMENT_BYTES, Store};
use hickorylink_lib::{
    codec::{decode_envelope, encode_envelope},
    command::{Command, Envelope, ListEdit, ListKind, Reply},
    consensus::log::{Entry, Members, Payload, Recovered, Snapshot, Write},
    ids::{Attempt, Epoch, Index, InstanceId, TaskAttempt, TaskId, Term, Ticket},
    ledger::{Ledger, Limits},
    resources::Resources,
    task::{Submission, TaskSpec},
    time::WallTime,
};

/// The entries in a write of the logs that are replayed.
const BATCH_ENTRIES: u64 = 64;

/// The maximum number of entries that are written to measure syncs.
const MAX_SYNC_ENTRIES: u64 = 12_800;

fn main() {
    for batch in [1, 8, 64, 256] {
        bench_sync(batch);
    }
    bench_restart("10,000 changes", 10_000, None);
    bench_restart("100,000 changes", 100_000, None);
    bench_restart("100,000 changes, a snapshot after 90,000", 100_000, Some(90_000));
}

fn bench_sync(batch: u64) {
    let entries = MAX_SYNC_ENTRIES.min(batch * 400);
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder can be made");
    let mut store = open(folder.path()).0;
    let start = Instant::now();
    for from in (1..=entries).step_by(batch as usize) {
        store.write(&[write(from, batch)]).expect("the disk works");
    }
    let syncs = entries / batch;
    let spent = start.elapsed().as_secs_f64();
    println!(
        "{batch} entries a sync: {:.0} syncs/s, {:.0} entries/s",
        syncs as f64 / spent,
        entries as f64 / spent
    );
}

fn bench_restart(name: &str, changes: u64, snapshot: Option<u64>) {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder can be made");
    let mut store = open(folder.path()).0;
    let mut ledger = Ledger::new(Limits::default());
    for from in (1..=changes).step_by(BATCH_ENTRIES as usize) {
        let write = write(from, BATCH_ENTRIES.min(changes - from + 1));
        if snapshot.is_some() {
            apply(&mut ledger, &write.entries);
        }
        let last = from + write.entries.len() as u64 - 1;
        let due = snapshot.filter(|at| (from..=last).contains(at));
        let new_snapshot = due.map(|_| Snapshot {
            index: Index(last),
            term: Term(1),
            members: Members::default(),
            state: ledger.encode(),
        });
        store.write(&[write]).expect("the disk works");
        if new_snapshot.is_some() {
            let write = Write { sequence: last, snapshot: new_snapshot, ..Write::default() };
            store.write(&[write]).expect("the disk works");
        }
    }
    drop(store);
    let start = Instant::now();
    let (_store, recovered) = open(folder.path());
    let read = start.elapsed();
    let mut ledger = match &recovered.snapshot {
        Some(snapshot) => Ledger::decode(&snapshot.state).expect("the state can be decoded"),
        None => Ledger::new(Limits::default()),
    };
    apply(&mut ledger, &recovered.entries);
    assert_eq!(ledger.applied(), Index(changes));
    println!("{name}: {:.1?}, of which {read:.1?} to read the folder", start.elapsed());
}

fn open(path: &Path) -> (Store<Folder>, Recovered) {
    let identity = Identity { instance: InstanceId(1), created: WallTime(1) };
    let opened =
        Store::open(Folder::new(path), identity, MAX_SEGMENT_BYTES).expect("the folder opens");
    (opened.store, opened.recovered)
}

fn write(from: u64, count: u64) -> Write {
    let entries = (from..from + count).map(entry).collect();
    Write { sequence: from + count - 1, entries, ..Write::default() }
}

/// The command of an entry: a list edit, the grant of a data centre, then submissions and starts of
/// tasks in turn.
fn entry(index: u64) -> Entry {
    let task = TaskId((index - 1) / 2);
    let command = match index {
        1 => Command::EditList(ListEdit {
            list: ListKind::Plans,
            edit: 1,
            author: "ann".into(),
            text: plans(),
        }),
        2 => Command::GrantCentre {
            centre: "akl-a".into(),
            holder: InstanceId(1),
            previous: Epoch(0),
        },
        index if index % 2 == 1 => submission(index),
        _ => Command::Start {
            centre: "akl-a".into(),
            epoch: Epoch(1),
            attempt: TaskAttempt { task, attempt: Attempt(1) },
            worker: format!("worker-{:04}", index % 5_500).as_str().into(),
        },
    };
    let (origin, ticket) = (InstanceId(0x1234_5678_9abc), Ticket(index));
    let envelope = Envelope { origin, ticket, at: WallTime(1_800_000_000_000 + index), command };
    let payload = Payload::Command(encode_envelope(&envelope));
    Entry { index: Index(index), term: Term(1), payload }
}

fn submission(index: u64) -> Command {
    let spec = TaskSpec {
        kind: format!("kind-{}", index % 50).as_str().into(),
        size: Resources { millicores: 500, memory_mib: 1024, accelerators: 0 },
        run_time: Duration::from_secs(400),
        urgent: false,
        idempotent: true,
        centre: None,
        service: None,
        payload: Bytes::from(vec![index as u8; 64]),
    };
    let key = format!("0a1b2c3d-{index:08}").as_str().into();
    Command::Submit(Submission { customer: "store".into(), key, spec })
}

fn plans() -> String {
    format!(
        r#"{{ "version": 1,
        "operators": [{{ "name": "ann", "credential": "blake3:{}" }}],
        "plans": [{{ "name": "gold", "objective": "latency" }}],
        "customers": [{{ "name": "store", "plan": "gold", "credential": "blake3:{}" }}] }}"#,
        "1".repeat(64),
        "2".repeat(64)
    )
}

fn apply(ledger: &mut Ledger, entries: &[Entry]) {
    let mut changes = Vec::new();
    for entry in entries {
        let Payload::Command(bytes) = &entry.payload else { continue };
        let envelope: Envelope = decode_envelope(bytes).expect("the envelope can be decoded");
        let reply = ledger.apply(entry.index, &envelope, &mut changes);
        let accepted = !matches!(reply, Reply::Refused(_) | Reply::Rejected(_));
        assert!(accepted, "{}: {reply:?}", entry.index);
        changes.clear();
    }
}
