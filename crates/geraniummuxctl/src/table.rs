//! Formats JSON objects as the rows of an aligned table.

use serde_json::Value;

/// Returns a header line and one line for each row, with one column for each field in `columns`.
pub fn render(columns: &[&str], rows: &[Value]) -> String {
    let cells: Vec<Vec<String>> =
        rows.iter().map(|row| columns.iter().map(|c| cell(&row[*c])).collect()).collect();
    let header: Vec<String> = columns.iter().map(|c| c.to_uppercase()).collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|i| {
            let longest = cells.iter().map(|row| row[i].len()).max().unwrap_or(0);
            longest.max(header[i].len())
        })
        .collect();
    std::iter::once(&header).chain(&cells).map(|row| line(row, &widths)).collect()
}

/// Returns a value as text without quotes, list items separated by commas, or `-` if it is absent.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        row.iter().zip(widths).map(|(text, width)| format!("{text:width$}")).collect();
    format!("{}\n", padded.join("  ").trim_end())
}
