//! The burn report and the command `hickorylink burn` with real processes.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use hickorylink_standin::cluster::{OPERATOR, Signal, eventually};
use serde_json::Value;

use crate::fixture::{CONDITION_TIMEOUT, Fixture, ONE, STORE, THREE};

/// An address without a listener: its port is outside the range that clusters use.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";

/// Runs `hickorylink burn` with a credential.
fn burn(address: &str, credential: &str, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hickorylink"));
    command.args(["burn", "--address", address, "--credential", credential]).args(args);
    command.output().expect("the command runs")
}

/// The report in JSON, fetched with these further arguments; none if it can't be fetched.
fn report(fixture: &Fixture, args: &[&str]) -> Option<Value> {
    let address = fixture.cluster.instances[0].listen.to_string();
    let output = burn(&address, OPERATOR, &[&["--json"], args].concat());
    serde_json::from_slice(&output.stdout).ok()
}

/// The number of requests of the customer `store` that the report counts over three days.
fn counted(fixture: &Fixture, args: &[&str]) -> Option<u64> {
    let report = report(fixture, args)?;
    let rows = report["rows"].as_array()?;
    let row = rows.iter().find(|row| row["customer"] == "store")?;
    let tally = &row["windows"]["3d"];
    Some(tally["good"].as_u64()? + tally["bad"].as_u64()?)
}

/// Waits until at least `min` requests are counted, and returns the count.
async fn wait_counted(fixture: &Fixture, min: u64) -> u64 {
    let seen = eventually(CONDITION_TIMEOUT, async || {
        counted(fixture, &[]).filter(|counted| *counted >= min)
    });
    seen.await.unwrap_or_else(|| panic!("{min} requests are counted\n{}", fixture.logs()))
}

/// Waits until the file has been written twice more. The first of these writes may have started
/// before this call; the second contains everything that was counted before it.
async fn wait_saved(file: &Path) {
    for _ in 0..2 {
        let before = fs::read(file).ok();
        let saved = eventually(CONDITION_TIMEOUT, async || {
            let now = fs::read(file).ok()?;
            (Some(&now) != before.as_ref()).then_some(())
        });
        assert!(saved.await.is_some(), "the counts are saved");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_survive_a_crash_and_a_graceful_shutdown() {
    let mut fixture = Fixture::serving(ONE).await;
    let served = fixture.call(&[0], "burn", 10, true).await;
    assert_eq!(served.ran, 10, "{}", fixture.logs());
    let before = wait_counted(&fixture, 10).await;
    let file = fixture.cluster.data_dir(0).join("burn/counts.bin");
    wait_saved(&file).await;
    fixture.cluster.kill(0).expect("the instance can be killed");
    fixture.cluster.launch(0).expect("the instance can be restarted");
    let crashed = wait_counted(&fixture, before).await;
    assert_eq!(crashed, before, "no request is counted twice");

    fixture.wait_serving(0).await;
    let before = wait_counted(&fixture, crashed + 1).await;
    fixture.cluster.signal(0, Signal::SIGTERM).expect("the instance can be signalled");
    assert!(
        fixture.cluster.wait_exit(0, CONDITION_TIMEOUT).expect("it exits by itself"),
        "it exits with success"
    );
    fixture.cluster.launch(0).expect("the instance can be restarted");
    assert_eq!(wait_counted(&fixture, before).await, before, "a graceful shutdown loses no count");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_starts_without_damaged_counts() {
    let mut fixture = Fixture::serving(ONE).await;
    wait_counted(&fixture, 1).await;
    fixture.cluster.signal(0, Signal::SIGTERM).expect("the instance can be signalled");
    assert!(
        fixture.cluster.wait_exit(0, CONDITION_TIMEOUT).expect("it exits by itself"),
        "it exits with success"
    );
    let file = fixture.cluster.data_dir(0).join("burn/counts.bin");
    let mut bytes = fs::read(&file).expect("the counts were saved");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&file, bytes).expect("the file can be written");
    fixture.cluster.launch(0).expect("the instance can be restarted");
    let shown = eventually(CONDITION_TIMEOUT, async || report(&fixture, &[])).await;
    let shown = shown.expect("the instance runs and reports");
    assert_eq!(shown["rows"].as_array().map(Vec::len), Some(0), "{shown}");
    let part = shown["coverage"]["5m"]["part"].as_f64().expect("the report states its coverage");
    assert!(part < 1.0, "the report states that it is incomplete: {shown}");
    // The log is written by a separate thread, so a line may reach the file after the report.
    let logged = eventually(CONDITION_TIMEOUT, async || {
        fixture.cluster.log(0).contains("starts without earlier counts").then_some(())
    });
    assert!(logged.await.is_some(), "{}", fixture.logs());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burn_command_merges_reports_and_lists_failed_instances() {
    struct Case {
        name: &'static str,
        instances: Vec<String>,
        credential: &'static str,
        exit: i32,
        /// The instances that the report counts.
        sources: usize,
        /// The instances that the report lists as not answering.
        silent: usize,
        /// A part of the error message.
        says: &'static str,
    }
    let fixture = Fixture::serving(THREE).await;
    let at = |at: usize| fixture.cluster.instances[at].listen.to_string();
    let case = Case {
        name: "all three",
        instances: vec![at(0), at(1), at(2)],
        credential: OPERATOR,
        exit: 0,
        sources: 3,
        silent: 0,
        says: "",
    };
    let cases = [
        Case { name: "one by default", instances: vec![], sources: 1, ..case },
        Case { name: "one twice", instances: vec![at(0), at(0)], sources: 1, ..case },
        Case {
            name: "one is unreachable",
            instances: vec![at(0), CLOSED_ADDRESS.to_owned()],
            exit: 4,
            sources: 1,
            silent: 1,
            says: CLOSED_ADDRESS,
            ..case
        },
        Case {
            name: "all are unreachable",
            instances: vec![CLOSED_ADDRESS.to_owned()],
            exit: 4,
            sources: 0,
            says: CLOSED_ADDRESS,
            ..case
        },
        Case {
            name: "a customer asks",
            instances: vec![],
            credential: STORE,
            exit: 7,
            sources: 0,
            says: "credential",
            ..case
        },
        case,
    ];
    for case in cases {
        let mut args = vec!["--json".to_owned()];
        if !case.instances.is_empty() {
            args.extend(["--instances".to_owned(), case.instances.join(",")]);
        }
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        let output = burn(&at(0), case.credential, &args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(case.exit), "{}: {errors}", case.name);
        assert!(errors.contains(case.says), "{}: {errors}", case.name);
        let value: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let len = |field: &str| value[field].as_array().map_or(0, Vec::len);
        assert_eq!(len("instances"), case.sources, "{}: {value}", case.name);
        assert_eq!(len("silent_instances"), case.silent, "{}: {value}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burn_command_writes_svg() {
    let fixture = Fixture::serving(ONE).await;
    wait_counted(&fixture, 1).await;
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let file = folder.path().join("burn.svg");
    let address = fixture.cluster.instances[0].listen.to_string();
    let path = file.to_str().expect("the path is text");
    let output = burn(&address, OPERATOR, &["--svg", path]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("BUDGET LEFT"), "{output:?}");
    let image = fs::read_to_string(&file).expect("the image was written");
    assert!(image.contains("folddesk / store"), "rows are labelled");
}
