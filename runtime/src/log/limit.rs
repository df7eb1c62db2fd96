//! Repeated lines of the log: the first ones of a second are written, the others are counted.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::time::Time;

/// Lines with the same message that are written in a second.
pub const MAX_LINES: u32 = 20;

/// How long lines with the same message are counted together.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Messages that are told apart within a second; further ones are counted together.
pub const MAX_MESSAGES: usize = 256;

/// The name under which further messages are counted.
pub const OTHER_MESSAGES: &str = "other messages";

/// How many lines with a message were left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suppressed {
    /// The message.
    pub message: String,
    /// How many lines.
    pub lines: u64,
}

/// Lets through the first lines with a message in each second.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    windows: BTreeMap<String, Window>,
}

/// Lines with a message since the first of them.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Time,
    written: u32,
    suppressed: u64,
}

impl Limiter {
    /// Whether a line with this message is to be written.
    pub fn admit(&mut self, now: Time, message: &str) -> bool {
        let full = self.windows.len() >= MAX_MESSAGES && !self.windows.contains_key(message);
        let key = if full { OTHER_MESSAGES } else { message };
        let window = match self.windows.get_mut(key) {
            Some(window) => window,
            None => self.windows.entry(key.to_owned()).or_insert(Window {
                start: now,
                written: 0,
                suppressed: 0,
            }),
        };
        if window.written < MAX_LINES {
            window.written += 1;
            return true;
        }
        window.suppressed += 1;
        false
    }

    /// Forgets the messages whose second is over, and says how many lines with them were left out.
    pub fn take_expired(&mut self, now: Time) -> Vec<Suppressed> {
        let ended = self.windows.extract_if(.., |_, window| now.since(window.start) >= WINDOW);
        ended
            .filter(|(_, window)| window.suppressed > 0)
            .map(|(message, window)| Suppressed { message, lines: window.suppressed })
            .collect()
    }
}
