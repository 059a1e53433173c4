//! Compares two versions of a table row by row. Rows are matched by name.

use crate::table::cell;
use serde_json::{Map, Value, json};

/// Returns one line for each row or field that differs, and an empty text if the tables are equal.
///
/// `+` marks rows that are only in `new`, `-` rows that are only in `old`, and `~` changed fields.
/// The targets of a pool are compared in the same way.
pub fn lines(old: &[Value], new: &[Value]) -> String {
    let mut out = String::new();
    for row in old {
        match find_row(new, &row["name"]) {
            None => out.push_str(&format!("- {}\n", format_row(row))),
            Some(other) => write_field_changes(&cell(&row["name"]), row, other, &mut out),
        }
    }
    for row in new.iter().filter(|row| find_row(old, &row["name"]).is_none()) {
        out.push_str(&format!("+ {}\n", format_row(row)));
    }
    out
}

/// Returns the differences as JSON: `added` and `removed` list the names of rows, `changed` the old
/// and the new version of each changed row.
pub fn json(old: &[Value], new: &[Value]) -> Value {
    let names_not_in = |from: &[Value], rows: &[Value]| -> Vec<Value> {
        rows.iter()
            .filter(|r| find_row(from, &r["name"]).is_none())
            .map(|r| r["name"].clone())
            .collect()
    };
    let changed: Vec<Value> = old
        .iter()
        .filter_map(|row| Some((row, find_row(new, &row["name"])?)))
        .filter(|(row, other)| row != other)
        .map(|(row, other)| json!({ "old": row, "new": other }))
        .collect();
    json!({
        "added": names_not_in(old, new), "removed": names_not_in(new, old),
        "changed": changed,
    })
}

fn find_row<'a>(rows: &'a [Value], name: &Value) -> Option<&'a Value> {
    rows.iter().find(|r| r["name"] == *name)
}

fn format_row(row: &Value) -> String {
    let Some(fields) = row.as_object() else { return cell(row) };
    let mut text = cell(&row["name"]);
    for (field, value) in fields.iter().filter(|(f, _)| *f != "name") {
        text.push_str(&format!(" {field}={}", format_value(value)));
    }
    text
}

/// Formats the value of a field. Objects in a list, such as the targets of a pool, are represented
/// by their names.
fn format_value(value: &Value) -> String {
    match value {
        Value::Array(items) => {
            let names: Vec<String> = items
                .iter()
                .map(|v| if v.is_object() { cell(&v["name"]) } else { cell(v) })
                .collect();
            names.join(",")
        }
        other => cell(other),
    }
}

/// Appends one line for each field that differs between two versions of the row at `path`. Lists of
/// objects are compared row by row.
fn write_field_changes(path: &str, old: &Value, new: &Value, out: &mut String) {
    let empty = Map::new();
    let (old, new) = (old.as_object().unwrap_or(&empty), new.as_object().unwrap_or(&empty));
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort_unstable();
    fields.dedup();
    for field in fields {
        let (a, b) =
            (old.get(field).unwrap_or(&Value::Null), new.get(field).unwrap_or(&Value::Null));
        match (a, b) {
            _ if a == b => {}
            (Value::Array(a), Value::Array(b)) if a.iter().chain(b).all(Value::is_object) => {
                for line in lines(a, b).lines() {
                    let (mark, rest) = line.split_at(2);
                    out.push_str(&format!("{mark}{path} {field} {rest}\n"));
                }
            }
            _ => out.push_str(&format!("~ {path} {field}: {} -> {}\n", cell(a), cell(b))),
        }
    }
}
