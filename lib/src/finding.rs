//! Findings: what is wrong in a file, each with its place, reported together.

use std::fmt;

use crate::data;

data! {
    /// A place in a text file; lines and columns count from 1.
    #[derive(Default)]
    pub struct Place {
        /// The file's name as it was given.
        pub file: String,
        /// The line.
        pub line: u32,
        /// The column, in characters.
        pub column: u32,
    }

    /// One thing that is wrong in a file.
    pub struct Finding {
        /// Where it stands.
        pub place: Place,
        /// What is wrong and what would be right.
        pub message: String,
    }

    /// Everything that is wrong in a file, in the order of places.
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
