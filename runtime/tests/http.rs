//! The bounded HTTP server, over loopback.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hickorylink_lib::clients::{Limits, Listener, Share, Timeouts, Usage};
use hickorylink_runtime::{
    clients::Clients,
    clock::Clock,
    http::{Request, Response, response, serve_socket},
};
use hyper::StatusCode;
use prometheus_client::{encoding::text::encode, registry::Registry};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// The limit for anything that happens over loopback.
const LIMIT: Duration = Duration::from_secs(20);

/// The largest body that the service reads.
const MAX_BODY: usize = 100_000;

/// The response to a GET request, which doesn't fit into the buffers of a socket.
const LARGE_RESPONSE: usize = 8 << 20;

fn limits(connections: usize, bytes: u64, seconds: u64) -> Limits {
    let time = Duration::from_secs(seconds);
    let calls = Share { connections, bytes };
    let small = Share { connections: 2, bytes: 1000 };
    let timeouts = Timeouts { head: time, body: time, progress: time, write: time, idle: time };
    Limits { calls, readiness: small, metrics: small, peers: small, timeouts }
}

/// A server whose service echoes the length of a body, and its clients.
struct Fixture {
    address: SocketAddr,
    clients: Clients,
    /// How many requests have reached the service.
    begun: Arc<AtomicUsize>,
    _stop: watch::Sender<bool>,
}

impl Fixture {
    async fn start(limits: Limits) -> Self {
        let clients = Clients::new(limits, Clock::start(), &Logger::root(Discard, o!()));
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = socket.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let begun = Arc::new(AtomicUsize::new(0));
        let count = begun.clone();
        let service = move |request| {
            count.fetch_add(1, Ordering::Relaxed);
            answer(request)
        };
        let (serving, watching) = (clients.clone(), clients.clone());
        tokio::spawn(serve_socket(socket, Listener::Calls, serving, stopped, LIMIT, service));
        tokio::spawn(watching.watch());
        Self { address, clients, begun, _stop: stop }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a connection")
    }

    async fn connect_and_send(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.expect("the bytes are sent");
        stream
    }

    async fn until(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let reached = timeout(LIMIT, async {
            while !condition(self) {
                sleep(Duration::from_millis(5)).await;
            }
        });
        assert!(reached.await.is_ok(), "{what}: {:?}", self.usage());
    }

    fn usage(&self) -> Usage {
        self.clients.usage(Listener::Calls)
    }
}

async fn answer(mut request: Request) -> Response {
    if request.head.method == "GET" {
        return response(StatusCode::OK, "text/plain", vec![b'x'; LARGE_RESPONSE]);
    }
    if request.head.uri.path() == "/none" {
        return response(StatusCode::NOT_FOUND, "text/plain", "");
    }
    if let Some(bytes) = request.head.uri.path().strip_prefix("/hold/") {
        let held = request.hold(bytes.parse().expect("a number of bytes"));
        return held.map_or_else(Response::from, |()| response(StatusCode::OK, "text/plain", ""));
    }
    match request.body(MAX_BODY).await {
        Ok(body) => response(StatusCode::OK, "text/plain", body.len().to_string()),
        Err(refusal) => refusal.into(),
    }
}

fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime").block_on(test);
}

fn post(length: usize, body: usize) -> Vec<u8> {
    let head = format!("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    [head.into_bytes(), vec![b'x'; body]].concat()
}

/// Reads until the server closes the connection or the text has arrived.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    let reading = async {
        let mut part = [0; 4096];
        while !String::from_utf8_lossy(&read).contains(text) {
            match stream.read(&mut part).await {
                Ok(0) => break,
                Ok(bytes) => read.extend_from_slice(&part[..bytes]),
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => break,
                Err(error) => panic!("{error}"),
            }
        }
    };
    timeout(LIMIT, reading).await.expect("the server answers or closes the connection");
    String::from_utf8_lossy(&read).into_owned()
}

/// Guards against bodies that are read although they are refused, and heads without a limit.
#[test]
fn requests_are_served_or_refused_by_their_size() {
    struct Case {
        name: &'static str,
        request: Vec<u8>,
        want: &'static str,
        body: &'static str,
    }
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    let chunked = |chunks: String| {
        format!("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into()
    };
    let no_body = "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n";
    let head = |bytes| {
        format!(
            "POST /a HTTP/1.1\r\nHost: h\r\nA: {}\r\nContent-Length: 0\r\n\r\n",
            "x".repeat(bytes)
        )
    };
    let cases = [
        Case { name: "no body", request: post(0, 0), want: "200", body: "0" },
        Case { name: "a small body", request: post(10, 10), want: "200", body: "10" },
        Case {
            name: "the largest body",
            request: post(MAX_BODY, MAX_BODY),
            want: "200",
            body: "100000",
        },
        Case { name: "a larger body", request: post(MAX_BODY + 1, 0), want: "413", body: "" },
        Case {
            name: "chunks",
            request: chunked(format!("{}0\r\n\r\n", chunk(700).repeat(100))),
            want: "200",
            body: "70000",
        },
        Case {
            name: "too many chunks",
            request: chunked(chunk(700).repeat(200)),
            want: "413",
            body: "",
        },
        Case { name: "a path that takes no body", request: no_body.into(), want: "404", body: "" },
        Case { name: "a long head", request: head(16_000).into(), want: "200", body: "0" },
        Case { name: "a longer head", request: head(20_000).into(), want: "431", body: "" },
        Case {
            name: "many fields",
            request: format!("POST /a HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200)).into(),
            want: "431",
            body: "",
        },
    ];
    run(async {
        let fixture = Fixture::start(limits(100, 1 << 20, 60)).await;
        for case in cases {
            let mut stream = fixture.connect().await;
            // A refusal may arrive before all has been sent.
            drop(stream.write_all(&case.request).await);
            let read = read_until(&mut stream, "\r\n\r\n").await;
            let status = format!("HTTP/1.1 {}", case.want);
            assert!(read.starts_with(&status), "{}: {read:?}", case.name);
            if case.want == "200" && !read.ends_with(&format!("\r\n\r\n{}", case.body)) {
                let rest = read_until(&mut stream, case.body).await;
                assert_eq!(rest, case.body, "{}", case.name);
            }
            drop(stream);
            fixture.until(case.name, |fixture| fixture.usage() == Usage::default()).await;
        }
    });
}

/// Guards against clients that stop in the middle of a request or never begin one.
#[test]
fn a_client_that_stops_is_closed_after_a_time() {
    struct Case {
        name: &'static str,
        sent: Vec<u8>,
    }
    let cases = [
        Case { name: "nothing", sent: Vec::new() },
        Case { name: "a part of a head", sent: b"POST /a HTTP/1.1\r\nHost".to_vec() },
        Case { name: "a head without its body", sent: post(10, 0) },
        Case { name: "a body without its last byte", sent: post(90_000, 89_999) },
    ];
    run(async {
        let fixture = Fixture::start(limits(100, 64 << 20, 1)).await;
        for case in cases {
            let mut stream = fixture.connect_and_send(&case.sent).await;
            assert_eq!(read_until(&mut stream, "HTTP").await, "", "{}", case.name);
            fixture.until(case.name, |fixture| fixture.usage() == Usage::default()).await;
        }
        // A client that reads nothing of a response isn't closed by the end of a read.
        let _stream = fixture.connect_and_send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
        fixture.until("it is open", |fixture| fixture.usage().connections == 1).await;
        fixture.until("it isn't read", |fixture| fixture.usage() == Usage::default()).await;
    });
}

/// Guards against bodies that together take more memory than there is, and against refusals that look
/// like a failure of a request that may have run.
#[test]
fn bodies_beyond_the_budget_are_refused_as_not_run() {
    run(async {
        let fixture = Fixture::start(limits(100, 300_000, 60)).await;
        let mut held = Vec::new();
        for _ in 0..20 {
            held.push(fixture.connect_and_send(&post(90_000, 89_999)).await);
        }
        let mut refusals = 0;
        for stream in &mut held {
            if let Ok(read) =
                timeout(Duration::from_millis(300), read_until(stream, "\r\n\r\n")).await
                && !read.is_empty()
            {
                assert!(read.starts_with("HTTP/1.1 503"), "{read}");
                assert!(read.to_lowercase().contains("\r\nretry-after: 1\r\n"), "{read}");
                refusals += 1;
            }
            assert!(fixture.usage().bytes <= 300_000, "{:?}", fixture.usage());
        }
        assert!(refusals > 0, "some are refused");
        let mut stream = fixture.connect_and_send(&post(1000, 1000)).await;
        let read = read_until(&mut stream, "1000").await;
        assert!(read.starts_with("HTTP/1.1 200"), "{read}");
        held.clear();
        drop(stream);
        fixture.until("nothing is left", |fixture| fixture.usage() == Usage::default()).await;
    });
}

/// Guards against a request that never fits and is told to come again.
#[test]
fn a_request_beyond_the_usable_budget_is_too_large() {
    // Of the budget, an eighth is spare, which only requests of up to 64 KiB may use.
    let cases =
        [(60_000, "200"), (875_000, "200"), (875_001, "413"), (950_000, "413"), (1_000_001, "413")];
    run(async {
        let fixture = Fixture::start(limits(100, 1_000_000, 60)).await;
        for (bytes, want) in cases {
            let request =
                format!("POST /hold/{bytes} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
            let mut stream = fixture.connect_and_send(request.as_bytes()).await;
            let read = read_until(&mut stream, "\r\n\r\n").await;
            assert!(read.starts_with(&format!("HTTP/1.1 {want}")), "{bytes}: {read:?}");
            drop(stream);
            fixture.until("it is closed", |fixture| fixture.usage() == Usage::default()).await;
        }
    });
}

/// Guards against requests that have run and whose response doesn't fit into the budget.
#[test]
fn a_small_response_fits_into_a_full_budget() {
    run(async {
        let fixture = Fixture::start(limits(100, 0, 60)).await;
        let mut stream = fixture.connect_and_send(&post(0, 0)).await;
        let read = read_until(&mut stream, "\r\n\r\n0").await;
        assert!(read.starts_with("HTTP/1.1 200"), "{read:?}");
    });
}

/// Guards against connections that are closed for lack of bytes without a trace.
#[test]
fn exhausted_bytes_are_counted() {
    let head = b"POST /a HTTP/1.1\r\nHost";
    let cases = [("a response", &b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"[..]), ("a head", head)];
    run(async {
        for (name, request) in cases {
            let fixture = Fixture::start(limits(100, 0, 60)).await;
            let mut registry = Registry::default();
            fixture.clients.register(&mut registry);
            let mut stream = fixture.connect_and_send(request).await;
            sleep(Duration::from_millis(50)).await;
            // The second piece of a head is held.
            drop(stream.write_all(b"x").await);
            assert_eq!(read_until(&mut stream, "\r\n\r\n").await, "", "{name}");
            let mut text = String::new();
            encode(&mut text, &registry).expect("the metrics can be encoded");
            let line = "clients_refused_total{listener=\"calls\",cause=\"bytes\"} 1";
            assert!(text.contains(line), "{name}: {text}");
        }
    });
}

/// Guards against connections beyond the descriptors of the process.
#[test]
fn a_crowd_of_connections_leaves_room_for_a_request() {
    run(async {
        let fixture = Fixture::start(limits(16, 1 << 20, 60)).await;
        let mut crowd = Vec::new();
        for _ in 0..100 {
            crowd.push(fixture.connect().await);
            assert!(fixture.usage().connections <= 16, "{:?}", fixture.usage());
        }
        let served = timeout(LIMIT, async {
            loop {
                let mut stream = fixture.connect().await;
                // The connection may be refused while the crowd's are accepted.
                drop(stream.write_all(&post(5, 5)).await);
                if read_until(&mut stream, "\r\n\r\n").await.starts_with("HTTP/1.1 200") {
                    break;
                }
            }
        });
        assert!(served.await.is_ok(), "a request is served");
    });
}

/// Guards against a crowd whose heads or bodies never stall and never end, for which connections on which
/// requests were served would be closed.
#[test]
fn a_dripping_crowd_is_closed_before_served_connections() {
    const SERVED: usize = 3;
    for sent in [&b"POST /a HTTP/1.1\r\nHost"[..], &post(90_000, 1)] {
        run(async {
            let fixture = Fixture::start(limits(16, 1 << 20, 60)).await;
            let mut served = Vec::new();
            for _ in 0..SERVED {
                let mut stream = fixture.connect_and_send(&post(5, 5)).await;
                assert!(read_until(&mut stream, "\r\n\r\n5").await.starts_with("HTTP/1.1 200"));
                served.push(stream);
            }
            let mut crowd = Vec::new();
            for _ in 0..16 - 2 - SERVED {
                crowd.push(fixture.connect_and_send(sent).await);
            }
            for round in 0..12 {
                sleep(Duration::from_millis(50)).await;
                if round > 6 {
                    crowd.push(fixture.connect_and_send(sent).await);
                }
                for stream in &mut crowd {
                    // The connection may have been closed.
                    drop(stream.write_all(b"x").await);
                }
            }
            for stream in &mut served {
                stream.write_all(&post(5, 5)).await.expect("the connection is open");
                let read = read_until(stream, "\r\n\r\n5").await;
                assert!(read.starts_with("HTTP/1.1 200"), "{read:?}");
            }
        });
    }
}

/// Guards against requests that run ahead of a client that doesn't read the responses.
#[test]
fn a_request_waits_until_the_previous_response_is_written() {
    run(async {
        let fixture = Fixture::start(limits(16, 64 << 20, 60)).await;
        let requests = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(200);
        let mut stream = fixture.connect_and_send(&requests).await;
        fixture.until("the first begins", |fixture| begun(fixture) > 0).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(begun(&fixture), 1, "the response doesn't fit into the buffers of the socket");
        assert!(fixture.usage().bytes >= LARGE_RESPONSE as u64, "{:?}", fixture.usage());
        let mut part = vec![0; 1 << 20];
        let read = timeout(LIMIT, async {
            while begun(&fixture) < 3 {
                let bytes = stream.read(&mut part).await.expect("the responses are sent");
                assert!(bytes > 0, "the connection stays open");
            }
        });
        assert!(read.await.is_ok(), "the next ones follow");
    });
}

fn begun(fixture: &Fixture) -> usize {
    fixture.begun.load(Ordering::Relaxed)
}
