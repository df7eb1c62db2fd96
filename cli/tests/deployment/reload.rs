//! Changes of the settings file of a running instance.

use std::net::SocketAddr;

use hickorylink_standin::{cluster::eventually, platform::job_path};
use hyper::Method;
use nix::sys::signal::Signal;

use crate::{CONDITION_TIMEOUT, Fixture};

/// The index of the gateway, which follows the three controllers.
const GATEWAY_INDEX: usize = 3;

/// An address at which nobody listens.
const GONE: &str = "127.0.1.250:9";

// Guards against an instance that is told of new seeds and asks only the ones of its start.
#[tokio::test(flavor = "multi_thread")]
async fn new_seeds_in_the_settings_reach_a_running_gateway() {
    struct Case {
        name: &'static str,
        signal: Option<Signal>,
    }
    let cases = [
        Case { name: "with a signal", signal: Some(Signal::SIGHUP) },
        Case { name: "without a signal", signal: None },
    ];
    let mut fixture = Fixture::start().await;
    let gone: [SocketAddr; 1] = [GONE.parse().expect("an address")];
    for case in cases {
        let deployment = &mut fixture.deployment;
        deployment.kill(GATEWAY_INDEX).expect("the process can be killed");
        deployment.write_seeds(GATEWAY_INDEX, &gone).expect("its settings can be written");
        deployment.launch(GATEWAY_INDEX).expect("the process can be restarted");
        let refused = eventually(CONDITION_TIMEOUT, async || {
            let answer = fixture.deployment.call(0, Method::GET, &job_path(1), "").await.ok()?;
            (answer.status == 503).then_some(())
        });
        assert!(refused.await.is_some(), "{}: it knows no leader\n{}", case.name, fixture.logs());

        let seeds = fixture.deployment.controllers();
        let written = fixture.deployment.write_seeds(GATEWAY_INDEX, &seeds);
        written.expect("its settings can be written");
        if let Some(signal) = case.signal {
            fixture.deployment.signal(GATEWAY_INDEX, signal).expect("the process runs");
        }
        let found = eventually(CONDITION_TIMEOUT, async || {
            let answer = fixture.deployment.call(0, Method::GET, &job_path(1), "").await.ok()?;
            (answer.status == 410).then_some(())
        });
        assert!(found.await.is_some(), "{}: it finds the leader\n{}", case.name, fixture.logs());
    }
}
