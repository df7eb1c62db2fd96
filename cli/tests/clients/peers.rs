//! Crowds at a controller's port for other instances, whose frames are preceded by their length in four
//! bytes.

use crate::{
    Case, Listener, Machine, check,
    crowd::{Pace, Script, Then},
};

/// A machine whose memory a small crowd fills. It has descriptors for all of the crowd.
const SMALL_MEMORY: Machine = Machine { memory_mb: 96, max_fds: 1000 };

/// A machine whose descriptors a small crowd uses up.
const FEW_FDS: Machine = Machine { memory_mb: 96, max_fds: 200 };

/// The largest legal frame.
const MAX_FRAME: u32 = 16 << 20;

/// The bytes of a unit that is repeated in frames.
const UNIT: usize = 64 << 10;

fn case(name: &'static str, clients: usize, script: Script) -> Case {
    Case { name, listener: Listener::Peers, machine: SMALL_MEMORY, clients, script }
}

fn announced(length: u32) -> Script {
    Script::new(length.to_be_bytes().to_vec())
}

/// A frame that stops one byte before its end.
fn stalled(length: u32) -> Script {
    let body = usize::try_from(length - 1).expect("a length");
    announced(length).repeat(vec![0xff; UNIT], body / UNIT).end(vec![0xff; body % UNIT])
}

#[test]
fn frames() {
    let invalid: Vec<u8> = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff].repeat(100);
    check(&[
        case("the largest, one byte short", 8, stalled(MAX_FRAME)),
        case("of 512 KiB, one byte short", 280, stalled(512 << 10)),
        case("in pieces, one byte short", 280, stalled(512 << 10).pace(Pace::Pieces(512))),
        case("the largest announced, few bytes", 300, announced(MAX_FRAME).end(vec![0; 100])),
        case("announced far over the limit", 300, announced(u32::MAX).end(vec![0; 100_000])),
        case("that can't be decoded", 20, Script::new(invalid)),
        case("stopping halfway", 250, announced(1 << 20).end(vec![0; 512 << 10])),
        case("leaving halfway", 250, announced(1 << 20).end(vec![0; 512 << 10]).then(Then::Close)),
    ]);
}

#[test]
fn many_connections() {
    let few = |name, script| Case { machine: FEW_FDS, ..case(name, 300, script) };
    check(&[
        few("half a length", Script::new(vec![0, 0])),
        few("nothing sent", Script::new("")),
        few("frames a byte at a time", announced(1 << 20).end(vec![0; 1000]).pace(Pace::Slow)),
    ]);
}
