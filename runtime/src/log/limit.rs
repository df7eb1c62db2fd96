//! Repeated lines of the log: the first ones of a second are written, the others are counted.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::time::Time;

/// Lines with the same message that are written in a second.
pub const LINES: u32 = 20;

/// How long lines with the same message are counted together.
pub const SPAN: Duration = Duration::from_secs(1);

/// Messages that are told apart within a second; further ones are counted together.
pub const MESSAGES: usize = 256;

/// The name under which further messages are counted.
pub const OTHERS: &str = "other messages";

/// How many lines with a message were left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeftOut {
    /// The message.
    pub message: String,
    /// How many lines.
    pub lines: u64,
}

/// Lets through the first lines with a message in each second.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    spans: BTreeMap<String, Span>,
}

/// Lines with a message since the first of them.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: Time,
    written: u32,
    dropped: u64,
}

impl Limiter {
    /// Whether a line with this message is to be written.
    pub fn admit(&mut self, now: Time, message: &str) -> bool {
        let full = self.spans.len() >= MESSAGES && !self.spans.contains_key(message);
        let key = if full { OTHERS } else { message };
        let span = match self.spans.get_mut(key) {
            Some(span) => span,
            None => self.spans.entry(key.to_owned()).or_insert(Span {
                start: now,
                written: 0,
                dropped: 0,
            }),
        };
        if span.written < LINES {
            span.written += 1;
            return true;
        }
        span.dropped += 1;
        false
    }

    /// Forgets the messages whose second is over, and says how many lines with them were left out.
    pub fn take_ended(&mut self, now: Time) -> Vec<LeftOut> {
        let ended = self.spans.extract_if(.., |_, span| now.since(span.start) >= SPAN);
        ended
            .filter(|(_, span)| span.dropped > 0)
            .map(|(message, span)| LeftOut { message, lines: span.dropped })
            .collect()
    }
}
