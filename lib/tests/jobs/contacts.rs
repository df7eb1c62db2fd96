//! Whom a controller greets, and the message by which controllers find each other.

use std::{net::SocketAddr, time::Duration};

use hickorylink_lib::{
    jobs::{contacts::Contacts, hello::Hello, link::LinkMessage, record::Node},
    time::Time,
};

use crate::world::{address, node};

fn peer(host: u8) -> SocketAddr {
    address(&format!("10.0.0.{host}:7000"))
}

fn peers(hosts: &[u8]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| peer(*host)).collect()
}

/// A hello from a controller that lists others, after a pause.
struct Heard {
    after: u64,
    from: u8,
    known: &'static [u8],
    /// The controllers of which it is the first sign of life.
    new: &'static [u8],
}

// Guards against a controller that only its seeds hear of, and against greeting those that are gone.
#[test]
fn controllers_that_others_have_heard_are_greeted() {
    struct Case {
        name: &'static str,
        heard: &'static [Heard],
        /// How many seconds pass until the next hello.
        after: u64,
        greeted: &'static [u8],
        live: &'static [u8],
    }
    let cases = [
        Case { name: "seeds and members", heard: &[], after: 0, greeted: &[2, 3], live: &[] },
        Case {
            name: "one that greets this one",
            heard: &[Heard { after: 0, from: 4, known: &[], new: &[4] }],
            after: 1,
            greeted: &[2, 3, 4],
            live: &[4],
        },
        Case {
            name: "one that a seed has heard is greeted, but not passed on",
            heard: &[Heard { after: 0, from: 2, known: &[1, 5], new: &[2, 5] }],
            after: 1,
            greeted: &[2, 3, 5],
            live: &[2],
        },
        Case {
            name: "the same again is no news",
            heard: &[
                Heard { after: 0, from: 2, known: &[5], new: &[2, 5] },
                Heard { after: 1, from: 2, known: &[5], new: &[] },
                Heard { after: 0, from: 5, known: &[2], new: &[5] },
                Heard { after: 1, from: 5, known: &[2], new: &[] },
            ],
            after: 0,
            greeted: &[2, 3, 5],
            live: &[2, 5],
        },
        Case {
            name: "one that is listed no more is forgotten",
            heard: &[
                Heard { after: 0, from: 2, known: &[5], new: &[2, 5] },
                Heard { after: 1, from: 2, known: &[], new: &[] },
            ],
            after: 10,
            greeted: &[2, 3],
            live: &[],
        },
        Case {
            name: "one that is silent is still greeted for a while",
            heard: &[Heard { after: 0, from: 4, known: &[], new: &[4] }],
            after: 30,
            greeted: &[2, 3, 4],
            live: &[],
        },
        Case {
            name: "one that is gone is forgotten",
            heard: &[Heard { after: 0, from: 4, known: &[], new: &[4] }],
            after: 61,
            greeted: &[2, 3],
            live: &[],
        },
        Case {
            name: "one that was silent is news again",
            heard: &[
                Heard { after: 0, from: 4, known: &[], new: &[4] },
                Heard { after: 5, from: 4, known: &[], new: &[4] },
            ],
            after: 0,
            greeted: &[2, 3, 4],
            live: &[4],
        },
    ];
    for case in cases {
        let mut now = Time::from_millis(1);
        let mut contacts = Contacts::new(peer(1), &peers(&[1, 2]));
        for heard in case.heard {
            now = now + Duration::from_secs(heard.after);
            let new = contacts.record_hello(now, peer(heard.from), &peers(heard.known));
            assert_eq!(new, peers(heard.new), "{}", case.name);
        }
        now = now + Duration::from_secs(case.after);
        let greeted: Vec<_> = contacts.recipients(now, peers(&[1, 3])).into_iter().collect();
        assert_eq!(greeted, peers(case.greeted), "{}", case.name);
        assert_eq!(contacts.live(now).collect::<Vec<_>>(), peers(case.live), "{}", case.name);
    }
}

#[test]
fn contacts_are_bounded() {
    let mut contacts = Contacts::new(peer(1), &[]);
    let known: Vec<_> = (0..1000).map(|port| SocketAddr::new(peer(2).ip(), port)).collect();
    let mut now = Time::from_millis(1);
    for from in &known {
        now = now + Duration::from_millis(1);
        contacts.record_hello(now, *from, &known);
    }
    assert_eq!(contacts.live(now).count(), 64);
    assert!(contacts.recipients(now, []).len() <= 128);
}

// Guards against connections that end with each hello while a deployment is upgraded.
#[test]
fn hellos_of_releases_with_and_without_contacts_are_read() {
    struct Case {
        name: &'static str,
        known: &'static [u8],
        leaving: bool,
        /// How many bytes an older release doesn't write.
        cut: usize,
    }
    let cases = [
        Case { name: "this release", known: &[], leaving: false, cut: 0 },
        Case { name: "this release, with contacts", known: &[2, 3], leaving: true, cut: 0 },
        Case { name: "an older release", known: &[], leaving: false, cut: 2 },
    ];
    for case in cases {
        let want = LinkMessage::Hello(Hello {
            node: node(1, 1),
            known: peers(case.known),
            leaving: case.leaving,
        });
        let mut bytes = postcard::to_allocvec(&want).expect("it can be encoded");
        bytes.truncate(bytes.len() - case.cut);
        assert_eq!(postcard::from_bytes(&bytes), Ok(want), "{}", case.name);
        // An older release reads the node behind the kind of the message, and nothing further.
        let (read, _) = postcard::take_from_bytes::<Node>(&bytes[1..]).expect("a node");
        assert_eq!(read, node(1, 1), "{}", case.name);
    }
}
