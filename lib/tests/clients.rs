//! The admission of clients: who is closed or refused, deadlines, and budgets that hold.

use std::time::Duration;

use hickorylink_lib::{
    clients::{
        Admission, Cause, Closing, ConnectionId, Limits, Listener, Phase, Share, Timeouts, Usage,
    },
    time::Time,
};
use quickcheck::quickcheck;

const TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_secs(3),
    body: Duration::from_secs(10),
    progress: Duration::from_secs(4),
    write: Duration::from_secs(5),
    idle: Duration::from_secs(15),
};

fn limits(connections: usize, bytes: u64) -> Limits {
    let small = Share { connections: 2, bytes: 1000 };
    let calls = Share { connections, bytes };
    Limits { calls, readiness: small, metrics: small, peers: small, timeouts: TIMEOUTS }
}

fn millis(at: u64) -> Time {
    Time::from_millis(at)
}

/// A connection that reached its phase at `at` milliseconds.
#[derive(Clone, Copy)]
struct Opened {
    at: u64,
    phase: Phase,
    served: bool,
    bytes: u64,
    /// Pieces that arrive or leave every 200 ms after the phase began: how many, and of which size.
    pieces: (u64, usize),
}

const NEW: Opened = Opened { at: 0, phase: Phase::Idle, served: false, bytes: 0, pieces: (0, 0) };

/// A connection that moves a byte every 200 ms until second 1.
const DRIPPING: (u64, usize) = (5, 1);

fn open(admission: &mut Admission, opened: &Opened) -> ConnectionId {
    let (now, mut out) = (millis(opened.at), Vec::new());
    let id = admission.open(now, Listener::Calls, &mut out).expect("there is a slot");
    if opened.served {
        admission.enter(now, id, Phase::Idle);
    }
    if opened.phase != Phase::Idle {
        admission.enter(now, id, opened.phase);
    }
    assert!(admission.hold(now, id, opened.bytes, &mut out), "there are bytes");
    assert!(out.is_empty(), "nothing is closed yet");
    let (count, bytes) = opened.pieces;
    for piece in 1..=count {
        admission.progress(millis(opened.at + 200 * piece), id, bytes);
    }
    id
}

/// Guards against a crowd of connections that keeps out others, and against closing connections that
/// are about to be served.
#[test]
fn a_full_listener_closes_the_slowest_and_the_newest_idle_connections() {
    struct Case {
        name: &'static str,
        open: &'static [Opened],
        now: u64,
        /// The position in `open` of the connection that is closed.
        want: Option<usize>,
    }
    let cases = [
        Case {
            name: "the newest of the idle ones",
            open: &[NEW, Opened { at: 100, ..NEW }, Opened { at: 200, ..NEW }],
            now: 1000,
            want: Some(2),
        },
        Case {
            name: "not one whose first request may be on its way",
            open: &[NEW, Opened { at: 100, ..NEW }, Opened { at: 950, ..NEW }],
            now: 1000,
            want: Some(1),
        },
        Case {
            name: "not one that was served while there are others",
            open: &[NEW, Opened { served: true, ..NEW }, Opened { served: true, ..NEW }],
            now: 1000,
            want: Some(0),
        },
        Case {
            name: "a head that stalls before an idle one",
            open: &[NEW, Opened { phase: Phase::Head, ..NEW }, NEW],
            now: 1000,
            want: Some(1),
        },
        Case {
            name: "the body that has stalled for the longest time",
            open: &[
                Opened { phase: Phase::Body, at: 500, ..NEW },
                Opened { phase: Phase::Body, at: 300, ..NEW },
                Opened { phase: Phase::Body, at: 400, ..NEW },
            ],
            now: 1000,
            want: Some(1),
        },
        Case {
            name: "none that gets on",
            open: &[
                Opened { phase: Phase::Body, at: 900, ..NEW },
                Opened { phase: Phase::Head, at: 900, ..NEW },
                Opened { phase: Phase::Writing, at: 900, ..NEW },
            ],
            now: 1000,
            want: None,
        },
        Case {
            name: "none that waits for the instance, however long",
            open: &[Opened { phase: Phase::Calling, ..NEW }; 3],
            now: 60_000,
            want: None,
        },
        Case {
            name: "a head byte by byte before idle ones that were served",
            open: &[
                Opened { served: true, ..NEW },
                Opened { phase: Phase::Head, pieces: DRIPPING, ..NEW },
                Opened { served: true, ..NEW },
            ],
            now: 1100,
            want: Some(1),
        },
        Case {
            name: "a body byte by byte before idle ones that were served",
            open: &[
                Opened { served: true, ..NEW },
                Opened { phase: Phase::Body, pieces: DRIPPING, ..NEW },
                Opened { served: true, ..NEW },
            ],
            now: 1100,
            want: Some(1),
        },
        Case {
            name: "the slowest of those that drip",
            open: &[
                Opened { phase: Phase::Body, pieces: (5, 100), ..NEW },
                Opened { phase: Phase::Body, pieces: (5, 1), ..NEW },
                Opened { phase: Phase::Body, pieces: (5, 200), ..NEW },
            ],
            now: 1100,
            want: Some(1),
        },
        Case {
            name: "a slow one that was served after an idle one that wasn't",
            open: &[
                Opened { phase: Phase::Body, served: true, ..NEW },
                NEW,
                Opened { served: true, ..NEW },
            ],
            now: 1000,
            want: Some(1),
        },
        Case {
            name: "a slow one that was served before an idle one that was, too",
            open: &[
                Opened { served: true, ..NEW },
                Opened { phase: Phase::Body, served: true, pieces: DRIPPING, ..NEW },
                Opened { served: true, ..NEW },
            ],
            now: 1100,
            want: Some(1),
        },
        Case {
            // 250,000 bytes a second, shared by 20 transfers.
            name: "none that has its share of a link of 2 Mbit/s",
            open: &[
                Opened { phase: Phase::Body, pieces: (5, 2500), ..NEW },
                Opened { phase: Phase::Head, pieces: (5, 2500), ..NEW },
                Opened { phase: Phase::Writing, pieces: (5, 2500), ..NEW },
            ],
            now: 1100,
            want: None,
        },
        Case {
            name: "a response that isn't read",
            open: &[NEW, Opened { phase: Phase::Writing, ..NEW }, NEW],
            now: 1000,
            want: Some(1),
        },
    ];
    for case in cases {
        // Four slots, of which one is spare.
        let mut admission = Admission::new(limits(4, 1000));
        let ids: Vec<_> = case.open.iter().map(|opened| open(&mut admission, opened)).collect();
        let (now, mut out) = (millis(case.now), Vec::new());
        assert!(admission.open(now, Listener::Calls, &mut out).is_some(), "{}", case.name);
        let closed: Vec<_> = out.iter().map(|closing| closing.id).collect();
        let want: Vec<_> = case.want.into_iter().map(|at| ids[at]).collect();
        assert_eq!(closed, want, "{}", case.name);
        // The slot is in use until the connection has ended.
        assert!(admission.open(now, Listener::Calls, &mut out).is_none(), "{}", case.name);
        if let Some(first) = want.first() {
            admission.close(*first);
            assert!(admission.open(now, Listener::Calls, &mut out).is_some(), "{}", case.name);
        }
    }
}

/// Guards against bodies that stall and keep the bytes that others need.
#[test]
fn full_bytes_close_the_slowest_holder_or_refuse_the_request() {
    struct Case {
        name: &'static str,
        phase: Phase,
        stalled_ms: u64,
        pieces: (u64, usize),
        bytes: u64,
        want: bool,
        closes: bool,
    }
    const BUDGET: u64 = 1 << 20;
    let base = Case {
        name: "",
        phase: Phase::Body,
        stalled_ms: 1000,
        pieces: (0, 0),
        bytes: 1000,
        want: true,
        closes: true,
    };
    let cases = [
        Case { name: "a small one beside a stalled one", ..base },
        Case { name: "a small one beside one that gets on", stalled_ms: 10, closes: false, ..base },
        Case { name: "a small one beside one that drips", pieces: (4, 1), ..base },
        Case {
            name: "a small one beside one at 12,500 bytes a second",
            pieces: (4, 2500),
            closes: false,
            ..base
        },
        Case { name: "a small one beside a call", phase: Phase::Calling, closes: false, ..base },
        Case { name: "a large one beside a stalled one", bytes: 128 << 10, want: false, ..base },
        Case { name: "one above the budget", bytes: BUDGET + 1, want: false, ..base },
    ];
    for case in cases {
        let mut admission = Admission::new(limits(8, BUDGET));
        let held = BUDGET - BUDGET / 8;
        let holder = Opened { phase: case.phase, bytes: held, pieces: case.pieces, ..NEW };
        let holder = open(&mut admission, &holder);
        let now = millis(case.stalled_ms);
        let mut out = Vec::new();
        let id = admission.open(now, Listener::Calls, &mut out).expect("there is a slot");
        admission.enter(now, id, Phase::Body);
        let fits = admission.hold(now, id, case.bytes, &mut out);
        assert_eq!(fits, case.want, "{}", case.name);
        let closing = Closing { id: holder, listener: Listener::Calls, cause: Cause::Bytes };
        let want = if case.closes { vec![closing] } else { Vec::new() };
        assert_eq!(out, want, "{}", case.name);
        admission.close(holder);
        let later = admission.hold(now, id, case.bytes, &mut out);
        assert_eq!(later, case.bytes <= BUDGET, "{}: once the holder has ended", case.name);
    }
}

/// Pieces of a frame every 3 s, up to two minutes.
const ENDLESS: &[u64] = &{
    let mut times = [0; 39];
    let mut at = 0;
    while at < times.len() {
        times[at] = 3000 * (at as u64 + 1);
        at += 1;
    }
    times
};

/// Guards against clients that are slow on purpose.
#[test]
fn each_phase_has_its_deadline() {
    struct Case {
        name: &'static str,
        listener: Listener,
        phase: Phase,
        /// When bytes arrive or leave after the phase began, in milliseconds.
        progress: &'static [u64],
        /// The size of each piece.
        piece: usize,
        want: Option<(u64, Cause)>,
    }
    let head: &[u64] = &[500, 1000, 1500, 2000, 2500, 2900];
    let body: &[u64] = &[3000, 6000, 9000, 9900];
    let (calls, peers) = (Listener::Calls, Listener::Peers);
    let case = |name, listener, phase, progress, want| Case {
        name,
        listener,
        phase,
        progress,
        piece: 1,
        want,
    };
    let cases = [
        case("a head", calls, Phase::Head, &[], Some((3000, Cause::Head))),
        case("a head byte by byte", calls, Phase::Head, head, Some((3000, Cause::Head))),
        case("a body that stalls", calls, Phase::Body, &[], Some((4000, Cause::Body))),
        case("a body byte by byte", calls, Phase::Body, body, Some((10_000, Cause::Body))),
        case("a call", calls, Phase::Calling, &[], None),
        case(
            "a response read byte by byte",
            calls,
            Phase::Writing,
            &[4000],
            Some((5000, Cause::Write)),
        ),
        case("an idle connection", calls, Phase::Idle, &[], Some((15_000, Cause::Idle))),
        case("a peer between frames", peers, Phase::Idle, &[], None),
        Case {
            piece: 16_000,
            ..case("a frame that stalls", peers, Phase::Head, &[1000], Some((5000, Cause::Head)))
        },
        // The deadline is 4 s after the rate fell below 4,000 bytes a second.
        Case {
            piece: 2000,
            ..case("a slow frame", peers, Phase::Head, &[2000, 4000], Some((5000, Cause::Head)))
        },
        Case {
            piece: 4,
            ..case(
                "a frame byte by byte",
                peers,
                Phase::Head,
                &[500, 3900],
                Some((4002, Cause::Head)),
            )
        },
        Case {
            piece: 1 << 20,
            ..case("an endless frame", peers, Phase::Head, ENDLESS, Some((120_000, Cause::Head)))
        },
    ];
    for case in cases {
        let mut admission = Admission::new(limits(4, 1000));
        let mut out = Vec::new();
        let id = admission.open(millis(0), case.listener, &mut out).expect("there is a slot");
        admission.enter(millis(0), id, case.phase);
        for at in case.progress {
            assert!(admission.expire(millis(*at), &mut out).is_some_and(|next| next > millis(*at)));
            admission.progress(millis(*at), id, case.piece);
        }
        let Some((at, cause)) = case.want else {
            assert!(admission.expire(millis(1_000_000), &mut out).is_some());
            assert_eq!(out, [], "{}", case.name);
            continue;
        };
        admission.expire(millis(at - 1), &mut out);
        assert_eq!(out, [], "{}: before", case.name);
        admission.expire(millis(at), &mut out);
        assert_eq!(out, [Closing { id, listener: case.listener, cause }], "{}", case.name);
        assert!(admission.expire(millis(at), &mut out).is_some(), "it is still open");
        assert_eq!(out.len(), 1, "{}: it is named once", case.name);
        admission.close(id);
        assert_eq!(admission.expire(millis(at), &mut out), None, "{}", case.name);
    }
}

/// Guards against callers that keep the platform's readiness checks, metrics or peers out.
#[test]
fn listeners_have_their_own_shares() {
    let (now, mut out) = (millis(0), Vec::new());
    let mut admission = Admission::new(limits(4, 1000));
    while let Some(id) = admission.open(now, Listener::Calls, &mut out) {
        admission.enter(now, id, Phase::Calling);
        admission.hold(now, id, 250, &mut out);
    }
    for listener in [Listener::Readiness, Listener::Metrics, Listener::Peers] {
        let id = admission.open(now, listener, &mut out).expect("it has a slot of its own");
        assert!(admission.hold(now, id, 500, &mut out), "{listener:?}");
    }
    assert_eq!(out, []);
}

/// Guards against limits of a deployment that its own workers, gateways or callers reach, and against
/// budgets that don't fit the machine together.
#[test]
fn the_limits_of_the_usual_machines_fit_normal_load() {
    struct Case {
        name: &'static str,
        memory: u64,
        descriptors: usize,
        calls: Share,
        /// The connections that a normal load needs.
        needed: usize,
    }
    let cases = [
        Case {
            name: "a gateway with a few hundred callers",
            memory: 160_000_000,
            descriptors: 4100,
            calls: Share { connections: 3075, bytes: 40_000_000 },
            needed: 1000,
        },
        Case {
            name: "a controller with 370 workers, each with an old connection beside the new one",
            memory: 384_000_000,
            descriptors: 4096,
            calls: Share { connections: 3072, bytes: 96_000_000 },
            needed: 1000,
        },
    ];
    for case in cases {
        let limits = Limits::of_machine(case.memory, case.descriptors, case.calls, TIMEOUTS);
        let shares = Listener::ALL.map(|listener| limits.share(listener));
        let total: usize = shares.iter().map(|share| share.connections).sum();
        let bytes: u64 = shares.iter().map(|share| share.bytes).sum();
        assert!(limits.calls.connections >= case.needed, "{}: {limits:?}", case.name);
        assert!(limits.peers.connections >= 58, "{}: {limits:?}", case.name);
        let frames = limits.peers.bytes - limits.peers.bytes / 8;
        assert!(frames >= 16 << 20, "{}: the largest frame fits: {limits:?}", case.name);
        assert!(total + 128 <= case.descriptors, "{}: {limits:?}", case.name);
        assert!(bytes <= case.memory / 2, "{}: {limits:?}", case.name);
    }
    for descriptors in [1, 16, 64, 200, 1000] {
        let calls = Share { connections: descriptors, bytes: 1000 };
        let limits = Limits::of_machine(1 << 20, descriptors, calls, TIMEOUTS);
        let empty = Listener::ALL.iter().any(|listener| limits.share(*listener).connections == 0);
        assert!(!empty, "{descriptors} descriptors: {limits:?}");
    }
}

const PHASES: [Phase; 5] = [Phase::Idle, Phase::Head, Phase::Body, Phase::Calling, Phase::Writing];

/// The usage, as added up from the connections that the test holds open.
fn expected(open: &[(ConnectionId, Listener, u64)], listener: Listener) -> (usize, u64) {
    let of = open.iter().filter(|(_, at, _)| *at == listener);
    of.fold((0, 0), |(count, sum), (_, _, bytes)| (count + 1, sum + bytes))
}

quickcheck! {
    /// Whatever arrives, no budget is exceeded, a connection is named once as one to be closed, and
    /// nothing is left once all have ended.
    fn budgets_hold_and_nothing_leaks(steps: Vec<(u8, u8, u8, u16)>) -> bool {
        let limits = limits(9, 4000);
        let mut admission = Admission::new(limits);
        let mut open: Vec<(ConnectionId, Listener, u64)> = Vec::new();
        let mut closing: Vec<ConnectionId> = Vec::new();
        let mut now = Time::default();
        for (action, at, kind, amount) in steps {
            now = now + Duration::from_millis(u64::from(amount % 400));
            let mut out = Vec::new();
            let pick = usize::from(at) % open.len().max(1);
            match (action % 7, open.get(pick).copied()) {
                (0 | 1, _) => {
                    let listener = Listener::ALL[usize::from(kind) % Listener::ALL.len()];
                    if let Some(id) = admission.open(now, listener, &mut out) {
                        open.push((id, listener, 0));
                    }
                }
                (2, Some((id, ..))) => {
                    let phase = PHASES[usize::from(kind) % PHASES.len()];
                    admission.enter(now, id, phase);
                    if phase == Phase::Idle {
                        open[pick].2 = 0;
                    }
                }
                (3 | 4, Some((id, ..))) => {
                    let bytes = u64::from(amount % 3000);
                    let fits = admission.hold(now, id, bytes, &mut out);
                    open[pick].2 = if fits { bytes } else { open[pick].2 };
                }
                (5, Some((id, ..))) => {
                    admission.close(id);
                    open.swap_remove(pick);
                    // A second end has no effect.
                    admission.close(id);
                }
                (6, _) => {
                    admission.expire(now, &mut out);
                }
                _ => {}
            }
            for closed in out {
                assert!(!closing.contains(&closed.id), "{closed:?} was named before");
                closing.push(closed.id);
            }
            for listener in Listener::ALL {
                let (usage, share) = (admission.usage(listener), limits.share(listener));
                assert!(usage.connections <= share.connections, "{listener:?}: {usage:?}");
                assert!(usage.bytes <= share.bytes, "{listener:?}: {usage:?}");
                assert_eq!((usage.connections, usage.bytes), expected(&open, listener));
            }
        }
        for (id, ..) in open {
            admission.close(id);
        }
        Listener::ALL.iter().all(|listener| admission.usage(*listener) == Usage::default())
            && admission.expire(now, &mut Vec::new()).is_none()
    }
}
