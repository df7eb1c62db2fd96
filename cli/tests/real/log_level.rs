//! Changing the log level of a running instance.

use std::process::Command;

use hickorylink_standin::cluster::{OPERATOR, eventually};

use crate::fixture::{CONDITION_TIMEOUT, Fixture, ONE, STORE};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_level_changes_without_a_restart() {
    struct Case {
        name: &'static str,
        credential: &'static str,
        level: &'static str,
        exit: i32,
        /// Whether requests are logged afterwards.
        logged: bool,
    }
    let fixture = Fixture::serving(ONE).await;
    let case = Case { name: "", credential: OPERATOR, level: "debug", exit: 0, logged: true };
    let cases = [
        Case { name: "fewer", level: "warning", logged: false, ..case },
        Case { name: "no such level", level: "loud", exit: 2, logged: false, ..case },
        Case { name: "a customer", credential: STORE, exit: 7, logged: false, ..case },
        Case { name: "more", ..case },
    ];
    let address = fixture.cluster.instances[0].listen.to_string();
    let requests = || fixture.cluster.log(0).matches(r#""msg":"request""#).count();
    for case in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hickorylink"));
        command.args(["log-level", case.level, "--address", &address]);
        let output =
            command.args(["--credential", case.credential]).output().expect("the command runs");
        assert_eq!(output.status.code(), Some(case.exit), "{}: {output:?}", case.name);
        if case.name == "fewer" {
            // Earlier lines may still be buffered. The log keeps the order of lines, so all earlier
            // ones are in the file once this one is.
            let is_logged = || fixture.cluster.log(0).contains("log level changed");
            let written = eventually(CONDITION_TIMEOUT, async || is_logged().then_some(())).await;
            assert!(written.is_some(), "the change is logged");
        }
        let before = requests();
        let served = fixture.call(&[0], &format!("level-{}", case.level), 3, true).await;
        assert_eq!(served.ran, 3, "{}", fixture.logs());
        match case.logged {
            true => {
                let logged = eventually(CONDITION_TIMEOUT, async || {
                    (requests() >= before + 3).then_some(())
                });
                assert!(logged.await.is_some(), "{}: requests are logged", case.name);
            }
            false => assert_eq!(requests(), before, "{}", case.name),
        }
    }
}
