//! Describes how two versions of a table differ.

use crate::table::cell;
use serde_json::{Map, Value, json};

/// Returns one line for each row or field that differs; nothing if the tables are equal.
///
/// `+` marks rows that only `new` has, `-` rows that only `old` has, `~` changed fields.
pub fn lines(old: &[Value], new: &[Value]) -> String {
    let mut out = String::new();
    for row in old {
        match find(new, &row["name"]) {
            None => out.push_str(&format!("- {}\n", summary(row))),
            Some(other) => changes(&cell(&row["name"]), row, other, &mut out),
        }
    }
    for row in new.iter().filter(|row| find(old, &row["name"]).is_none()) {
        out.push_str(&format!("+ {}\n", summary(row)));
    }
    out
}

/// Returns the differences as JSON: names of added and removed rows, and changed rows.
pub fn json(old: &[Value], new: &[Value]) -> Value {
    let missing = |from: &[Value], rows: &[Value]| -> Vec<Value> {
        rows.iter()
            .filter(|r| find(from, &r["name"]).is_none())
            .map(|r| r["name"].clone())
            .collect()
    };
    let changed: Vec<Value> = old
        .iter()
        .filter_map(|row| Some((row, find(new, &row["name"])?)))
        .filter(|(row, other)| row != other)
        .map(|(row, other)| json!({ "old": row, "new": other }))
        .collect();
    json!({ "added": missing(old, new), "removed": missing(new, old), "changed": changed })
}

fn find<'a>(rows: &'a [Value], name: &Value) -> Option<&'a Value> {
    rows.iter().find(|r| r["name"] == *name)
}

fn summary(row: &Value) -> String {
    let Some(fields) = row.as_object() else { return cell(row) };
    let mut text = cell(&row["name"]);
    for (field, value) in fields.iter().filter(|(f, _)| *f != "name") {
        text.push_str(&format!(" {field}={}", brief(value)));
    }
    text
}

/// Targets of a pool are given by their names.
fn brief(value: &Value) -> String {
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

fn changes(path: &str, old: &Value, new: &Value, out: &mut String) {
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
