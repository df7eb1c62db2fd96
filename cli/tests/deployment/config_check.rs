//! The configuration check against running controllers.

use std::{
    path::Path,
    process::{Command, Stdio},
};

use hickorylink_standin::{cluster::eventually, platform::Deployment};

use crate::{CONDITION_TIMEOUT, Fixture};

/// Guards against a check that works with the leader's address only.
#[tokio::test(flavor = "multi_thread")]
async fn any_controller_gives_the_configuration_in_force() {
    let fixture = Fixture::start().await;
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let check = |file: &Path, controller: &str| {
        Command::new(env!("CARGO_BIN_EXE_hickorylink"))
            .args(["config", "check", "--against", controller])
            .arg(file)
            .stdin(Stdio::null())
            .output()
            .expect("the program runs")
    };
    for (version, want) in [(1, 0), (2, 11)] {
        let file = folder.path().join(format!("{version}.json"));
        let text = Deployment::config(version).to_string();
        std::fs::write(&file, text).expect("the file can be written");
        for controller in fixture.deployment.controllers() {
            let controller = format!("http://{controller}");
            // Right after a change of leaders a controller may not know the leader.
            let found = eventually(CONDITION_TIMEOUT, async || {
                let output = check(&file, &controller);
                (output.status.code() != Some(4)).then_some(output)
            });
            let output = found.await.expect("there is a leader");
            assert_eq!(output.status.code(), Some(want), "{controller}: {output:?}");
        }
    }
}
