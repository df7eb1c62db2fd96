//! Frames between instances.

use hickorylink_cli::frame::{self, FrameError, PeerKey};
use quickcheck::{Arbitrary as _, Gen};
use serde::{Deserialize, Serialize};

/// The messages that a release knows.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Message {
    Number(u64),
    Text(String),
}

/// The messages that a later release knows.
#[derive(Serialize)]
enum LaterMessage {
    Number(u64),
    Text(String),
    Later(Vec<u8>),
}

fn key() -> PeerKey {
    PeerKey::new("a key for tests")
}

/// Regression: one message of a later release refused all messages of its frame, and the sender closed
/// the connection.
#[test]
fn the_messages_before_an_unreadable_one_are_kept() {
    use LaterMessage::{Later, Number, Text};
    struct Case {
        name: &'static str,
        sent: Vec<LaterMessage>,
        want: Vec<Message>,
        complete: bool,
    }
    let text = || "b".to_owned();
    let cases = [
        Case { name: "no message", sent: vec![], want: vec![], complete: true },
        Case {
            name: "known messages",
            sent: vec![Number(1), Text(text())],
            want: vec![Message::Number(1), Message::Text(text())],
            complete: true,
        },
        Case {
            name: "an unknown message at the end",
            sent: vec![Number(1), Text(text()), Later(vec![1, 2])],
            want: vec![Message::Number(1), Message::Text(text())],
            complete: false,
        },
        Case {
            name: "an unknown message at the start",
            sent: vec![Later(vec![0; 100]), Number(1)],
            want: vec![],
            complete: false,
        },
    ];
    for case in cases {
        let frame = frame::seal(&key(), &case.sent);
        let opened = frame::open::<Message>(&key(), &frame).expect("the frame has our key");
        assert_eq!(opened.messages, case.want, "{}", case.name);
        assert_eq!(opened.unread.is_none(), case.complete, "{}", case.name);
    }
}

/// Guards against a length that is claimed, but for which there are no bytes: nothing is reserved for
/// it.
#[test]
fn random_contents_are_read_up_to_the_first_odd_message() {
    let mut g = Gen::from_size_and_seed(64, 28);
    for _ in 0..2000 {
        let mut content = Vec::<u8>::arbitrary(&mut g);
        if bool::arbitrary(&mut g) {
            content.splice(0..0, [255, 255, 255, 255, 15]);
        }
        // Bytes, so that the content is sealed as it is.
        let frame = frame::seal(&key(), &Raw(&content));
        match frame::open::<Message>(&key(), &frame) {
            Ok(opened) => assert!(opened.messages.len() <= content.len(), "{content:?}"),
            Err(error) => assert!(matches!(error, FrameError::Content { .. }), "{error}"),
        }
    }
}

/// Content that is sealed byte by byte, without a length.
struct Raw<'a>(&'a [u8]);

impl Serialize for Raw<'_> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple as _;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}
