//! Invalid requests are refused with a reason, are reported as not run, and don't affect other
//! requests.

use bytes::Bytes;
use hickorylink_lib::api::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, OUTCOME_NOT_RUN,
};
use hickorylink_standin::cluster::{OPERATOR, bearer};
use hyper::Method;

use crate::fixture::{Fixture, RIVAL, STORE, THREE};

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    status: u16,
    /// A part of the error message.
    says: &'static str,
}

fn case(name: &'static str, path: &'static str) -> Case {
    let headers = vec![("authorization", bearer(STORE))];
    let (method, body) = (Method::POST, Bytes::new());
    Case { name, method, path, headers, body, status: 400, says: "" }
}

fn with_header(mut case: Case, name: &'static str, value: &str) -> Case {
    case.headers.push((name, value.to_owned()));
    case
}

fn with_credential(mut case: Case, credential: &str) -> Case {
    case.headers = vec![("authorization", bearer(credential))];
    case
}

fn requests() -> Vec<Case> {
    let fold = "/v1/services/folddesk/square";
    vec![
        Case {
            headers: Vec::new(),
            status: 401,
            says: "credential",
            ..case("no credential", fold)
        },
        Case {
            status: 401,
            says: "credential",
            ..with_credential(case("an unknown credential", fold), "wrong")
        },
        Case { status: 400, says: "idempotency key", ..case("no idempotency key", fold) },
        Case {
            status: 403,
            says: "plan doesn't include",
            ..with_header(
                with_credential(case("a rival's plan", fold), RIVAL),
                IDEMPOTENT_HEADER,
                "true",
            )
        },
        Case {
            says: "true or false",
            ..with_header(case("neither true nor false", fold), IDEMPOTENT_HEADER, "perhaps")
        },
        Case {
            says: "whole number",
            ..with_header(case("a deadline that is not a number", fold), DEADLINE_HEADER, "soon")
        },
        Case {
            says: "1 to 128 bytes",
            ..with_header(
                case("a key that is too long", fold),
                IDEMPOTENCY_KEY_HEADER,
                &"k".repeat(200),
            )
        },
        Case {
            status: 413,
            says: "larger than",
            body: vec![b'x'; 2 << 20].into(),
            ..with_header(case("a body that is too large", fold), IDEMPOTENT_HEADER, "true")
        },
        Case { status: 404, says: "", ..case("no such path", "/v1/nothing") },
    ]
}

fn tasks() -> Vec<Case> {
    let tasks = "/v1/tasks";
    vec![
        Case { says: "EOF", ..case("no submission", tasks) },
        Case {
            says: "unknown field",
            body: r#"{"key":"k","kind":"k","size":{},"run_time_ms":1,"siez":1}"#.into(),
            ..case("an unknown field", tasks)
        },
        Case {
            says: "must ask for processors",
            body: r#"{"key":"k","kind":"k","size":{},"run_time_ms":1}"#.into(),
            ..case("a task without a size", tasks)
        },
        Case {
            says: "is not from 0",
            body: r#"{"key":"k","kind":"k","size":{"processors":-1},"run_time_ms":1}"#.into(),
            ..case("a negative size", tasks)
        },
        Case {
            status: 404,
            says: "no such task",
            method: Method::DELETE,
            ..case("no such task", "/v1/tasks/987654")
        },
    ]
}

fn operators() -> Vec<Case> {
    let put = |case: Case| Case { method: Method::PUT, ..case };
    vec![
        put(Case {
            status: 401,
            says: "credential",
            ..case("a customer edits", "/v1/lists/plans")
        }),
        put(Case {
            says: "hexadecimal",
            ..with_credential(case("an edit without a number", "/v1/lists/plans"), OPERATOR)
        }),
        put(Case {
            status: 404,
            says: "plans and usage",
            ..with_credential(case("no such list", "/v1/lists/plan"), OPERATOR)
        }),
        put(Case {
            status: 422,
            says: "plans:1:",
            body: r#"{"version": 2, "palns": []}"#.into(),
            ..with_header(
                with_credential(case("a list with findings", "/v1/lists/plans"), OPERATOR),
                hickorylink_lib::api::EDIT_ID_HEADER,
                "7",
            )
        }),
        Case {
            status: 401,
            says: "credential",
            ..case("a customer announces a worker", "/v1/workers/announce")
        },
        Case {
            says: "missing field",
            body: r#"{"worker":"w"}"#.into(),
            ..with_credential(
                case("an incomplete announcement", "/v1/workers/announce"),
                "workers-demo-key",
            )
        },
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_refused_with_a_reason_and_runs_nothing() {
    let fixture = Fixture::serving(THREE).await;
    let served = fixture.history.entries().len();
    for case in requests().into_iter().chain(tasks()).chain(operators()) {
        let sent = fixture.cluster.send(0, case.method, case.path, &case.headers, case.body).await;
        let answer = sent.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, case.status, "{}: {text}", case.name);
        assert_eq!(answer.outcome.as_deref(), Some(OUTCOME_NOT_RUN), "{}: {text}", case.name);
        assert!(text.contains(case.says), "{}: {text}", case.name);
    }
    assert_eq!(fixture.history.entries().len(), served, "nothing ran");
    fixture.wait_serving(0).await;
}
