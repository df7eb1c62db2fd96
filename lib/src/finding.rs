//! Findings: the errors in a file with their positions, reported together.

use std::fmt;

use crate::data;

data! {
    /// A position in a text file; lines and columns count from 1.
    #[derive(Default)]
    pub struct Place {
        /// The name of the file, as given by the caller.
        pub file: String,
        /// The line number.
        pub line: u32,
        /// The column number, in characters.
        pub column: u32,
    }

    /// An error in a file.
    pub struct Finding {
        /// The position of the error.
        pub place: Place,
        /// A description of the error and of what is expected.
        pub message: String,
    }

    /// All errors in a file, ordered by position.
    pub struct Findings {
        /// The findings.
        pub items: Vec<Finding>,
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, finding) in self.items.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
