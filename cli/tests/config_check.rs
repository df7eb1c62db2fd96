//! `hickorylink config check`: exit codes, output, and the configuration of a running controller.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    process::{Command, Output, Stdio},
    thread,
};

const SAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../samples/fold/");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickorylink"))
        .args(args)
        .current_dir(SAMPLES)
        // A credential for instances isn't to be sent to controllers.
        .env("HICKORYLINK_CREDENTIAL", "secret-of-an-operator")
        .stdin(Stdio::null())
        .output()
        .expect("the program runs")
}

/// Guards against scripts that take errors for warnings or for differences.
#[test]
fn exit_codes_tell_the_most_severe_finding() {
    struct Case {
        args: &'static [&'static str],
        exit: i32,
        output: &'static str,
        errors: &'static str,
    }
    let cases = [
        Case { args: &["config.json"], exit: 0, output: "no findings", errors: "" },
        Case {
            args: &["config-wrong.json"],
            exit: 9,
            output: "config-wrong.json:4:71: error: queue \"fold\": unknown service",
            errors: "",
        },
        Case {
            args: &["config-slow.json"],
            exit: 10,
            output: "config-slow.json:6:7: warning: queue \"fold\": the timeout",
            errors: "",
        },
        Case {
            args: &["config-slow.json", "--against", "config.json"],
            exit: 10,
            output: "config-slow.json:2:3: difference: the version changes from 1 to 2",
            errors: "",
        },
        Case {
            args: &["config-next.json", "--against", "config.json"],
            exit: 11,
            output: "config-next.json:2:3: difference: the version changes from 1 to 2",
            errors: "",
        },
        Case {
            args: &["config.json", "--against", "config.json"],
            exit: 0,
            output: "no",
            errors: "",
        },
        Case { args: &["missing.json"], exit: 1, output: "", errors: "missing.json: " },
        Case {
            args: &["config.json", "--against", "../kowhai/plans.jsonc"],
            exit: 1,
            output: "",
            errors: "../kowhai/plans.jsonc:1:1: error: ",
        },
        Case {
            args: &["config.json", "--against", "http://127.0.0.1:9"],
            exit: 4,
            output: "",
            errors: "can't connect",
        },
        Case {
            args: &["config-wrong.json", "--json"],
            exit: 9,
            output: r#"{"findings":[{"column":71,"file":"config-wrong.json","line":4,"#,
            errors: "",
        },
        Case {
            args: &["config.json", "--json"],
            exit: 0,
            output: r#"{"findings":[]}"#,
            errors: "",
        },
    ];
    for case in cases {
        let output = run(&[&["config", "check"], case.args].concat());
        let (out, err) = (text(&output.stdout), text(&output.stderr));
        assert_eq!(output.status.code(), Some(case.exit), "{:?}\n{out}{err}", case.args);
        assert!(out.starts_with(case.output), "{:?}\n{out}", case.args);
        assert!(err.starts_with(case.errors), "{:?}\n{err}", case.args);
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Serves these responses on a loopback address, one for each connection; `ADDRESS` in them stands for that
/// address. Returns it, and the heads of the requests.
fn serve(responses: &'static [&'static str]) -> (String, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let own = address.clone();
    let server = thread::spawn(move || {
        let answer = |response: &&str| {
            let (mut stream, _) = listener.accept().expect("a connection");
            let lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
            let lines = lines.map(|line| line.expect("a line of the head"));
            let head: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
            let response = response.replace("ADDRESS", &own);
            stream.write_all(response.as_bytes()).expect("the response is sent");
            head.join("\n")
        };
        responses.iter().map(answer).collect()
    });
    (address, server)
}

const REDIRECT: &str = "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://ADDRESS/hickorylink/config\r\n\
                        Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Guards against a follower's redirect that isn't followed or is followed without end, and against an
/// operator's credential in a request to a controller.
#[test]
fn a_controllers_configuration_is_compared() {
    const NOT_RUN: &str =
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    const CONFIG: &str = concat!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: 43\r\n\r\n",
        r#"{"version": 2, "routes": [], "services":[]}"#
    );
    struct Case {
        name: &'static str,
        responses: &'static [&'static str],
        exit: i32,
        text: &'static str,
    }
    let cases = [
        Case { name: "the leader", responses: &[CONFIG], exit: 11, text: "from 2 to 1" },
        Case {
            name: "two redirects",
            responses: &[REDIRECT, REDIRECT, CONFIG],
            exit: 11,
            text: "from 2 to 1",
        },
        Case {
            name: "three redirects",
            responses: &[REDIRECT, REDIRECT, REDIRECT],
            exit: 4,
            text: "the leader changes",
        },
        Case { name: "no leader", responses: &[NOT_RUN], exit: 4, text: "there is no leader" },
    ];
    for case in cases {
        let (address, server) = serve(case.responses);
        let against = format!("http://{address}");
        let output = run(&["config", "check", "config.json", "--against", &against]);
        let all = text(&output.stdout) + &text(&output.stderr);
        assert_eq!(output.status.code(), Some(case.exit), "{}\n{all}", case.name);
        assert!(all.contains(case.text), "{}\n{all}", case.name);
        for head in server.join().expect("the server ends") {
            assert!(head.starts_with("GET /hickorylink/config HTTP/1.1"), "{}: {head}", case.name);
            assert!(!head.contains("secret-of-an-operator"), "{}: {head}", case.name);
        }
    }
}

/// Guards against a command that shells don't complete.
#[test]
fn completions_have_the_command() {
    for shell in ["bash", "zsh", "fish"] {
        let script = text(&run(&["completions", shell]).stdout);
        assert!(script.contains("against"), "{shell}");
    }
}

/// Guards against a panic when the reader of a long output closes it, as `head` does.
#[test]
fn a_closed_output_changes_no_exit_code() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let file = folder.path().join("config.json");
    let route =
        |at| format!(r#"{{"name":"q{at}","host":"h","pathPrefix":"/{at}/","service":"s"}}"#);
    let routes: Vec<_> = (0..10_000).map(route).collect();
    let config = format!(r#"{{"version":1,"routes":[{}],"services":[]}}"#, routes.join(","));
    std::fs::write(&file, config).expect("the file can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_hickorylink"))
        .args(["config", "check"])
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("the program ends");
    assert_eq!(output.status.code(), Some(9), "{}", text(&output.stderr));
}

/// Guards against a full disk that looks like success.
#[cfg(target_os = "linux")]
#[test]
fn an_output_that_is_lost_is_a_failure() {
    let full = std::fs::File::options().write(true).open("/dev/full").expect("the device exists");
    let status = Command::new(env!("CARGO_BIN_EXE_hickorylink"))
        .args(["config", "check", "config.json"])
        .current_dir(SAMPLES)
        .stdin(Stdio::null())
        .stdout(full)
        .stderr(Stdio::null())
        .status();
    assert_eq!(status.expect("the program runs").code(), Some(1));
}
