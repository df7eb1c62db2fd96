//! Checks the operators' documentation: its commands run as written, its tables are complete, and
//! its links resolve.

use std::{
    collections::BTreeSet,
    fs,
    os::unix::fs::symlink,
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
    time::Duration,
};

use hickorylink_cli::{metrics::Metrics, ring::thread_ring};
use hickorylink_lib::{
    ids::{Epoch, Revision},
    instance::port::LogEvent,
    jobs::controller::{self as jobs, Answer},
};
use hickorylink_runtime::metrics::controller;
use hickorylink_standin::{
    cluster::{Cluster, InstanceSpec, OPERATOR, eventually},
    demo::worker_spec,
    history::History,
    worker::Worker,
};
use tempfile::TempDir;

/// How long any condition may take. Generous, so that the tests pass on a busy machine too.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of workers of the deployment that the commands are run against.
const WORKERS: usize = 6;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");

/// A command on a page and the exit code that the page gives for it.
#[derive(Debug, PartialEq, Eq)]
struct PageCommand {
    /// The number of its line on the page.
    number: usize,
    command: String,
    exit: i32,
}

/// The commands in a page's code blocks of the language `console`; blocks may be indented.
fn commands(text: &str) -> Vec<PageCommand> {
    let mut lines = Vec::new();
    let mut open = None;
    for (at, line) in text.lines().map(str::trim_start).enumerate() {
        match (line.strip_prefix("```"), open) {
            (Some(kind), None) => open = Some(kind),
            (Some(""), Some(_)) => open = None,
            (None, Some("console")) => lines.extend(command(at + 1, line)),
            (Some(_) | None, Some(_)) | (None, None) => {}
        }
    }
    lines
}

fn command(number: usize, line: &str) -> Option<PageCommand> {
    let line = line.strip_prefix("$ ")?;
    let (command, exit) = match line.rsplit_once(" # exit ") {
        Some((command, exit)) => (command, exit.trim().parse().ok()?),
        None => (line, 0),
    };
    Some(PageCommand { number, command: command.to_owned(), exit })
}

#[test]
fn commands_are_read_from_console_blocks() {
    struct Case {
        text: &'static str,
        want: &'static [(usize, &'static str, i32)],
    }
    let cases = [
        Case { text: "$ outside\n", want: &[] },
        Case { text: "```sh\n$ another kind\n```\n", want: &[] },
        Case {
            text: "```console\n$ one\noutput\n$ two # exit 6\n```\n$ after\n",
            want: &[(2, "one", 0), (4, "two", 6)],
        },
        Case { text: "1. item\n   ```console\n   $ one\n   ```\n", want: &[(3, "one", 0)] },
        Case { text: "```\n```console\n$ closed by the line above\n", want: &[] },
    ];
    for case in cases {
        let lines = commands(case.text);
        let lines: Vec<_> = lines.iter().map(|l| (l.number, l.command.as_str(), l.exit)).collect();
        assert_eq!(lines, case.want, "{:?}", case.text);
    }
}

/// A deployment of one instance with its workers, and a working directory for the commands.
struct Deployment {
    cluster: Cluster,
    _workers: Vec<Worker>,
    folder: TempDir,
}

impl Deployment {
    async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let program = Path::new(env!("CARGO_BIN_EXE_hickorylink"));
        let spec = InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true };
        let home = folder.path().join("deployment");
        fs::create_dir(&home).expect("a folder can be made");
        let cluster = Cluster::start(program, &home, &[spec]).expect("the instance starts");
        let mut workers = Vec::new();
        for number in 0..WORKERS {
            let worker = Worker::start(
                worker_spec("akl-a", number),
                cluster.announce_config(),
                History::default(),
            );
            workers.push(worker.await.expect("a worker starts"));
        }
        symlink(Path::new(ROOT).join("samples"), folder.path().join("samples"))
            .expect("a link can be made");
        let deployment = Self { cluster, _workers: workers, folder };
        deployment
            .wait("it leads", "hickorylink --json status | grep -q '\"role\":\"leader\"'")
            .await;
        deployment
    }

    /// Applies the lists and waits until a worker is known and a call succeeds.
    async fn serve(&self) {
        for (list, edit) in [("plans", "1"), ("usage", "2")] {
            let file = format!("samples/kowhai/{list}.jsonc");
            self.wait(list, &format!("hickorylink {list} apply {file} --edit {edit}")).await;
        }
        self.wait("a worker is known", "hickorylink worker show akl-a-w00").await;
        let call = "HICKORYLINK_CREDENTIAL=menswear-demo hickorylink call folddesk square";
        self.wait("a call is served", &format!("{call} --idempotent")).await;
    }

    /// Retries a command until it succeeds.
    async fn wait(&self, what: &str, command: &str) {
        let done = eventually(CONDITION_TIMEOUT, async || {
            self.run(command).status.success().then_some(())
        });
        assert!(done.await.is_some(), "{what}: {command}\n{}", self.cluster.log(0));
    }

    fn run(&self, command: &str) -> Output {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_hickorylink"));
        let programs = program.parent().expect("the program is in a folder").display();
        let path = std::env::var("PATH").unwrap_or_default();
        Command::new("sh")
            .args(["-c", command])
            .current_dir(self.folder.path())
            .env("PATH", format!("{programs}:{path}"))
            .env("HICKORYLINK_ADDRESS", self.cluster.instances[0].listen.to_string())
            .env("HICKORYLINK_CREDENTIAL", OPERATOR)
            .stdin(Stdio::null())
            .output()
            .expect("a shell runs")
    }
}

/// Runs all commands of a page, in order.
async fn run_page(page: &str, serving: bool) {
    let text = fs::read_to_string(Path::new(ROOT).join(page)).expect("the page can be read");
    let lines = commands(&text);
    if lines.is_empty() {
        return;
    }
    let deployment = Deployment::start().await;
    if serving {
        deployment.serve().await;
    }
    for line in lines {
        let output = deployment.run(&line.command);
        let place = format!("{page}:{}: {}", line.number, line.command);
        assert_eq!(output.status.code(), Some(line.exit), "{place}\n{output:?}");
    }
}

/// The paths of the operators' pages.
fn pages() -> Vec<String> {
    let folder = Path::new(ROOT).join("docs/operate");
    let files = fs::read_dir(folder).expect("the folder can be read");
    let name = |file: std::io::Result<fs::DirEntry>| {
        let name = file.expect("the folder can be read").file_name();
        format!("docs/operate/{}", name.to_string_lossy())
    };
    let mut pages: Vec<_> = files.map(name).filter(|name| name.ends_with(".md")).collect();
    pages.sort();
    pages
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_in_all_pages_run_as_written() {
    // The commands of these pages start with an instance that has no lists yet.
    let without_lists = ["docs/operate/first-lists.md", "docs/operate/install.md"];
    for page in pages().into_iter().chain(["README.md".to_owned()]) {
        run_page(&page, !without_lists.contains(&page.as_str())).await;
    }
}

fn page(name: &str) -> String {
    let path = Path::new(ROOT).join("docs/operate").join(name);
    fs::read_to_string(path).expect("the page can be read")
}

#[test]
fn every_metric_is_documented() {
    let page = page("metrics.md");
    let metrics = Metrics::default();
    // A metric with labels is only exported once it has a value.
    metrics.count_request(&"store".into(), &"folddesk".into(), "ran");
    metrics.observe_latency(&"folddesk".into(), Duration::from_millis(1));
    metrics.record_event(&LogEvent::Policy { plans: Revision(1), usage: Revision(1) });
    metrics.record_event(&LogEvent::Epoch {
        centre: "akl-a".into(),
        epoch: Epoch(1),
        holder: None,
    });
    let (ring, _) = thread_ring::<()>("council", 1);
    let text = metrics.encode(&[ring.reading()]).expect("metrics can be written");
    let names = text.lines().filter_map(|line| line.strip_prefix("# HELP hickorylink_"));
    let names: BTreeSet<_> = names.filter_map(|line| line.split(' ').next()).collect();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let rows: BTreeSet<_> = rows.filter_map(|row| row.split('`').next()).collect();
    assert_eq!(rows, names, "metrics.md has one row per metric");
}

#[test]
fn every_metric_of_a_controller_is_documented() {
    let page = fs::read_to_string(Path::new(ROOT).join("docs/OPERATIONS.md"));
    let page = page.expect("the page can be read");
    let metrics = controller::Metrics::default();
    // A metric with labels is only exported once it has a value.
    metrics.count_answer(&Answer::Acknowledged);
    let (id, queue, worker) = ("1".to_owned(), "fold".to_owned(), "w1".to_owned());
    let (name, silent_ms, runs) = (worker.clone(), 0, 0);
    for event in [
        jobs::LogEvent::Job { id: id.clone(), state: "accepted", queue, age_ms: 1 },
        jobs::LogEvent::Ended { task: id, run: 1, ending: "failed", worker },
        jobs::LogEvent::Worker { name, state: "left", silent_ms, runs },
        jobs::LogEvent::NearWaitEnded {
            step: "1.0.0".to_owned(),
            rack: "r1".to_owned(),
            near: 1,
            far: 0,
            reason: None,
            waited_ms: 1,
        },
    ] {
        metrics.record(&event);
    }
    let (ring, _) = thread_ring::<()>("control", 1);
    let text = metrics.encode(&[ring.reading()]).expect("metrics can be written");
    let names = text.lines().filter_map(|line| line.strip_prefix("# HELP hickorylink_"));
    let names: BTreeSet<_> = names.filter_map(|line| line.split(' ').next()).collect();
    assert!(names.contains("waiting_restarts"), "{names:?}");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let listed = rows.filter_map(|row| row.split('|').nth(1)).flat_map(|cell| cell.split('`'));
    let listed = listed.filter_map(|name| name.split('{').next());
    let listed: BTreeSet<_> = listed.map(|name| name.trim_end_matches("_total")).collect();
    let missing: Vec<_> = names.difference(&listed).collect();
    assert_eq!(missing, Vec::<&&str>::new(), "OPERATIONS.md names each metric");
}

/// The first string literal after each call of these macros in the sources of this crate.
fn messages(macros: &[&str]) -> Vec<String> {
    let mut found = Vec::new();
    let mut folders = vec![Path::new(ROOT).join("cli/src")];
    while let Some(folder) = folders.pop() {
        for file in fs::read_dir(folder).expect("the folder can be read") {
            let path = file.expect("the folder can be read").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(path).expect("the file can be read");
            for name in macros {
                let calls = text.split(name).skip(1);
                found.extend(calls.filter_map(|call| call.split('"').nth(1)).map(str::to_owned));
            }
        }
    }
    found
}

#[test]
fn every_warning_and_error_is_documented() {
    let page = page("messages.md");
    let messages = messages(&["warn!(", "error!(", "crit!("]);
    assert!(messages.len() > 8, "the messages are found: {messages:?}");
    for message in messages {
        assert!(page.contains(&format!("\n| `{message}`")), "{message:?} is in messages.md");
    }
}

#[test]
fn every_exit_code_is_documented() {
    let page = page("exit-codes.md");
    for code in 0..=11 {
        assert!(page.contains(&format!("\n| {code} |")), "{code} is in exit-codes.md");
    }
}

#[test]
fn links_between_pages_resolve() {
    for page in pages() {
        let path = Path::new(ROOT).join(&page);
        let text = fs::read_to_string(&path).expect("the page can be read");
        let links = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
        for link in links.filter(|link| !link.contains("://") && !link.starts_with('#')) {
            let target = path.parent().expect("a page is in a folder").join(link);
            assert!(target.exists(), "{page}: {link}");
        }
    }
}
