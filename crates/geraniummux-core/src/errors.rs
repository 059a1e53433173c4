//! The error type of this crate: rejected configuration tables and edits.

use thiserror::Error;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for which a table or an edit is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text of a table could not be parsed.
    #[error("{table} table: {cause}")]
    Parse {
        /// Name of the table.
        table: &'static str,
        /// Message of the parser, with line and column.
        cause: String,
    },
    /// A row of a table is invalid.
    #[error("{table} table, row {row:?}, field {field:?}: {cause}")]
    Invalid {
        /// Name of the table.
        table: &'static str,
        /// Name of the row.
        row: String,
        /// Name of the field.
        field: &'static str,
        /// Description of the invalid value and the allowed values.
        cause: String,
    },
    /// The edit is based on an outdated revision of its table.
    #[error(
        "conflict: the {table} table is at revision {current} (written by {writer}), the edit is based on revision {base}"
    )]
    Conflict {
        /// Name of the table.
        table: &'static str,
        /// Revision that the edit is based on.
        base: u64,
        /// Current revision of the table.
        current: u64,
        /// Operator who wrote the current revision.
        writer: String,
    },
}

/// Returns an [`Error::Invalid`] for a field of a row.
pub fn invalid<C>(table: &'static str, row: &str, field: &'static str, cause: C) -> Error
where
    C: Into<String>,
{
    Error::Invalid { table, row: row.to_owned(), field, cause: cause.into() }
}
