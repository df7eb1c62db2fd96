//! Rate limit for repeated log lines: the first ones of each second are written, further ones are
//! counted.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::time::Time;

/// The maximum number of lines with the same message that are written in one window.
pub const MAX_LINES: u32 = 20;

/// The time over which lines with the same message are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// The maximum number of messages that are counted separately in one window. Further messages share
/// one count.
pub const MAX_MESSAGES: usize = 256;

/// The name of the shared count.
pub const OTHER_MESSAGES: &str = "other messages";

/// The number of suppressed lines with a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suppressed {
    /// The message.
    pub message: String,
    /// How many lines were suppressed.
    pub lines: u64,
}

/// Admits the first lines with a message in each window.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    windows: BTreeMap<String, Window>,
}

/// The count of lines with one message, from the first of them.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Time,
    written: u32,
    suppressed: u64,
}

impl Limiter {
    /// Counts a line with this message and returns whether to write it.
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

    /// Removes the windows that have ended and returns the number of lines suppressed in each.
    pub fn take_expired(&mut self, now: Time) -> Vec<Suppressed> {
        let expired = self.windows.extract_if(.., |_, window| now.since(window.start) >= WINDOW);
        expired
            .filter(|(_, window)| window.suppressed > 0)
            .map(|(message, window)| Suppressed { message, lines: window.suppressed })
            .collect()
    }
}
