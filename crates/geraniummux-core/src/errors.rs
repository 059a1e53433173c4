//! The error type of the core.

use thiserror::Error;

/// The result of a fallible operation of the core.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons why the core rejects its input.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A table could not be parsed.
    #[error("{table} table: {cause}")]
    Parse {
        /// The table's name.
        table: &'static str,
        /// The parser's message, with line and column.
        cause: String,
    },
    /// A row of a table is invalid.
    #[error("{table} table, row {row:?}, field {field:?}: {cause}")]
    Invalid {
        /// The table's name.
        table: &'static str,
        /// The row's name.
        row: String,
        /// The field.
        field: &'static str,
        /// What is wrong with the value and what is allowed.
        cause: String,
    },
    /// The edit is based on an outdated revision of its table.
    #[error(
        "conflict: the {table} table is at revision {current} (written by {writer}), the edit is based on revision {base}"
    )]
    Conflict {
        /// The table's name.
        table: &'static str,
        /// The revision that the edit is based on.
        base: u64,
        /// The revision that won.
        current: u64,
        /// Who wrote the winning revision.
        writer: String,
    },
}

/// Returns the error for an invalid field of a row.
pub fn invalid<C>(table: &'static str, row: &str, field: &'static str, cause: C) -> Error
where
    C: Into<String>,
{
    Error::Invalid { table, row: row.to_owned(), field, cause: cause.into() }
}
