//! Properties of the store under generated writes, crashes and corruption.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

use hickorylink_lib::{ids::InstanceId, time::WallTime};
use hickorylink_runtime::storage::{Identity, Opened, Store, StoreError};
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::{
    fake::{FakeDisk, Fault, Rng},
    model::{Model, batch},
};

/// Small enough that the tests use several segments.
const MAX_SEGMENT_BYTES: u64 = 2_000;

const CRASH_TESTS: u64 = 1_000;
const FAULT_TESTS: u64 = 1_000;
const INPUT_SIZE: usize = 10;

type Batches = Vec<Vec<(u8, u8)>>;

fn open(disk: &FakeDisk) -> Result<Opened<FakeDisk>, StoreError> {
    let fresh = Identity { instance: InstanceId(0x5eed_1234_9876), created: WallTime(7) };
    Store::open(disk.clone(), fresh, MAX_SEGMENT_BYTES)
}

fn check<A: quickcheck::Testable>(seed: u64, tests: u64, property: A) {
    let generator = Gen::from_size_and_seed(INPUT_SIZE, seed);
    QuickCheck::new().rng(generator).tests(tests).max_tests(tests * 10).quickcheck(property);
}

/// Opens the folder and writes batches until the power fails. Returns the confirmed state, and the
/// state after the batch that was in progress.
fn run(disk: &FakeDisk, model: &Model, batches: &[Vec<(u8, u8)>]) -> (Model, Model) {
    let mut confirmed = model.clone();
    let Ok(mut opened) = open(disk) else { return (confirmed.clone(), confirmed) };
    for choices in batches {
        let (writes, after) = batch(&confirmed, choices);
        match opened.store.write(&writes) {
            Ok(sequence) => assert_eq!(sequence, after.sequence),
            Err(_) => return (confirmed, after),
        }
        confirmed = after;
    }
    (confirmed.clone(), confirmed)
}

#[test]
fn confirmed_writes_are_recovered_and_others_atomically() {
    fn holds(sessions: Vec<(Batches, u8)>, seed: u64) -> TestResult {
        let disk = FakeDisk::default();
        let mut rng = Rng(seed);
        let mut model = Model::default();
        for (batches, power) in sessions {
            let at = disk.operations() + 1 + u64::from(power) / 2;
            disk.set_fault(Some(Fault::PowerLossAt(at)));
            let (confirmed, in_progress) = run(&disk, &model, &batches);
            disk.reboot(&mut rng);
            let opened = match open(&disk) {
                Ok(opened) => opened,
                Err(error) => return TestResult::error(format!("recovery failed: {error}")),
            };
            let found =
                [&in_progress, &confirmed].into_iter().find(|m| m.matches(&opened.recovered));
            let Some(found) = found else {
                let (recovered, truncation) = (opened.recovered, opened.truncation);
                return TestResult::error(format!(
                    "recovered {recovered:?}\nconfirmed {confirmed:?}\ntruncation {truncation:?}"
                ));
            };
            model = found.clone();
            disk.exit_process();
        }
        TestResult::passed()
    }
    check(11, CRASH_TESTS, holds as fn(_, _) -> _);
}

#[test]
fn a_flipped_bit_is_detected_or_harmless() {
    fn holds(batches: Batches, file: usize, bit: usize) -> TestResult {
        let disk = FakeDisk::default();
        let (confirmed, _) = run(&disk, &Model::default(), &batches);
        disk.exit_process();
        let names = disk.names();
        disk.flip_bit(&names[file % names.len()], bit);
        match open(&disk) {
            Err(_) => TestResult::passed(),
            Ok(opened) if confirmed.matches(&opened.recovered) => TestResult::passed(),
            Ok(opened) => {
                TestResult::error(format!("truncated {:?} of {confirmed:?}", opened.truncation))
            }
        }
    }
    check(12, FAULT_TESTS, holds as fn(_, _, _) -> _);
}

#[test]
fn a_failed_write_confirms_nothing_and_poisons_the_store() {
    fn holds(batches: Batches, at: u8, full: bool, seed: u64) -> TestResult {
        let disk = FakeDisk::default();
        let at = u64::from(at);
        let fault =
            if full { Fault::FullAfter(at as usize * 32) } else { Fault::SyncFailureAt(at) };
        disk.set_fault(Some(fault));
        let Ok(mut opened) = open(&disk) else { return TestResult::discard() };
        let mut confirmed = Model::default();
        let mut in_progress = None;
        for choices in &batches {
            let (writes, after) = batch(&confirmed, choices);
            if opened.store.write(&writes).is_err() {
                in_progress = Some(after);
                break;
            }
            confirmed = after;
        }
        let Some(in_progress) = in_progress else { return TestResult::discard() };
        disk.set_fault(None);
        let (writes, _) = batch(&confirmed, &[(0, 1)]);
        if !matches!(opened.store.write(&writes), Err(StoreError::Poisoned)) {
            return TestResult::error("a write after a failed one was accepted");
        }
        disk.reboot(&mut Rng(seed));
        match open(&disk) {
            Ok(opened) => TestResult::from_bool(
                confirmed.matches(&opened.recovered) || in_progress.matches(&opened.recovered),
            ),
            Err(error) => TestResult::error(format!("recovery failed: {error}")),
        }
    }
    check(13, FAULT_TESTS, holds as fn(_, _, _, _) -> _);
}
