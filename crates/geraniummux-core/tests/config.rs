//! Validation, edits and adoption of the routes and pools tables, and the path match of a route.

use expect_test::expect;
use geraniummux_core::config::{Adoption, ConfigState};
use geraniummux_core::{Config, Error, Router, TableEdit, TableKind};
use std::sync::Arc;

const POOLS: &str = r#"{"pools":[{"name":"p","targets":[
    {"name":"t1","addr":"127.0.0.1:1","failure_domain":"a"}]}]}"#;
const ROUTES: &str = r#"{"routes":[{"name":"r","path":"/x","tenant":"t","class":"c","pool":"p",
    "timeout_ms":100}]}"#;

fn edit(kind: TableKind, text: &str) -> TableEdit {
    TableEdit::parse(kind, text).unwrap().0
}

fn sample() -> Config {
    Config::default()
        .with_edit(edit(TableKind::Pools, POOLS), 0, "op", "w1")
        .and_then(|c| c.with_edit(edit(TableKind::Routes, ROUTES), 0, "op", "w2"))
        .unwrap()
}

fn routes_error(text: &str) -> String {
    match TableEdit::parse(TableKind::Routes, text) {
        Ok((e, _)) => sample().with_edit(e, 1, "op", "w").unwrap_err().to_string(),
        Err(e) => e.to_string(),
    }
}

// Guards against an edit that silently overwrites another operator's edit of the same table, made
// from the same revision.
#[test]
fn with_edit_outdated_base() {
    let cfg = sample();
    let err = cfg.with_edit(edit(TableKind::Routes, ROUTES), 0, "late", "w3").unwrap_err();
    assert!(matches!(err, Error::Conflict { base: 0, current: 1, .. }), "{err}");
}

// Guards against rejecting an edit because the other table changed in the meantime.
#[test]
fn with_edit_other_table_changed() {
    let cfg = sample().with_edit(edit(TableKind::Pools, POOLS), 1, "op", "w3").unwrap();
    assert!(cfg.with_edit(edit(TableKind::Routes, ROUTES), 1, "op", "w4").is_ok());
}

// Guards against accepting a pools table that removes a pool still named by a route.
#[test]
fn with_edit_pool_in_use_removed() {
    let err = sample().with_edit(edit(TableKind::Pools, r#"{"pools":[]}"#), 1, "op", "w3");
    expect![[r#"routes table, row "r", field "pool": pool "p" does not exist in the pools table"#]]
        .assert_eq(&err.unwrap_err().to_string());
}

// Guards against validation errors that don't name the row, the field and the cause.
#[test]
fn validate_bad_rows() {
    let base = r#"{"routes":[{"name":"r","path":"/x","tenant":"t","class":"c","pool":"p","#;
    let mut out = String::new();
    for fields in [
        r#""timeout_ms":0}]}"#,
        r#""timeout_ms":5,"retry_budget":2}]}"#,
        r#""timeout_ms":5,"timeout":6}]}"#,
        r#""timeout_ms":5,"methods":["get"]}]}"#,
    ] {
        out.push_str(&routes_error(&format!("{base}{fields}")));
        out.push('\n');
    }
    expect![[r#"
        routes table, row "r", field "timeout_ms": 0 is out of range: 1 to 600000
        routes table, row "r", field "retry_budget": 2 is out of range: 0 to 1
        routes table: unknown field `timeout`, expected one of `name`, `host`, `path`, `methods`, `tenant`, `class`, `pool`, `timeout_ms`, `idempotent`, `retry_budget`, `hedge_budget`, `max_body_bytes` at line 1 column 95
        routes table, row "r", field "methods": "get" is not a method in upper case
    "#]]
    .assert_eq(&out);
}

// Guards against a target that receives the probe budgets of two pools.
#[test]
fn validate_probed_twice() {
    let pools = |share: f64| {
        let pool = |name: &str, share: f64| {
            format!(
                r#"{{"name":"{name}","probe_share":{share},"targets":[
                {{"name":"t","addr":"127.0.0.1:1","failure_domain":"a"}}]}}"#
            )
        };
        edit(TableKind::Pools, &format!(r#"{{"pools":[{},{}]}}"#, pool("p", 1.0), pool("q", share)))
    };
    assert!(sample().with_edit(pools(0.0), 1, "op", "w3").is_ok());
    expect![[r#"pools table, row "q", field "targets.addr": 127.0.0.1:1 is also probed by pool "p"; set probe_share to 0 in one of them"#]]
        .assert_eq(&sample().with_edit(pools(0.5), 1, "op", "w3").unwrap_err().to_string());
}

// Guards against a delayed older configuration replacing a newer one.
#[test]
fn adopt_if_newer_older_generation() {
    let (old, new) = (Arc::new(Config::default()), Arc::new(sample()));
    let mut state = ConfigState::default();
    assert_eq!(state.adopt_if_newer(new.clone()), Adoption::Adopted);
    assert_eq!(state.adopt_if_newer(old), Adoption::Stale);
    assert_eq!(state.adopt_if_newer(new.clone()), Adoption::Unchanged);
    assert_eq!(state.current().generation, new.generation);
}

// Guards against a path prefix that matches in the middle of a path segment.
#[test]
fn find_segment_boundary() {
    let router = Router::new(&sample().tables);
    assert!(router.find("h:80", "GET", "/x/y").is_some());
    assert!(router.find("h", "GET", "/x").is_some());
    assert!(router.find("h", "GET", "/xy").is_none());
}
