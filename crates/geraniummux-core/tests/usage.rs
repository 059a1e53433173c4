//! Usage counters, their merge into the object of a month, and the size of that object.

use geraniummux_core::UnixMs;
use geraniummux_core::usage::{
    FOLD_AGE, MAX_USAGE_OBJECT_LEN, Month, ProcessId, ReportRow, UsageAction, UsageCounters,
    UsageError, UsageKey, UsageMerge, UsageObject, UsageReport,
};
use geraniummux_core::{Time, membership};
use std::net::SocketAddr;
use std::sync::Arc;

/// 2026-12-01T00:00:00Z.
const DECEMBER: u64 = 1_796_083_200_000;
const DAY: u64 = 86_400_000;
const MONTH: Month = Month(202_612);

fn process(host: &str, run: u64) -> ProcessId {
    ProcessId { host: host.into(), run }
}

fn row(class: &str, served: u64) -> ReportRow {
    indexed(0, class, served)
}

fn indexed(index: u32, class: &str, served: u64) -> ReportRow {
    let key = UsageKey { month: MONTH, tenant: "tenant".into(), class: class.into() };
    ReportRow { index, key: Some(key), served }
}

fn peer_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Merges one report into an object, as a usage writer without state does. Returns the new value,
/// or `None` if nothing changed.
fn merge_report(
    present: Option<&[u8]>,
    id: ProcessId,
    rows: Vec<ReportRow>,
    wall: u64,
) -> Option<Vec<u8>> {
    let mut m = UsageMerge::new(Time::ZERO, process("writer", 1));
    m.on_report(Time::ZERO, peer_addr(), UsageReport { seq: 0, process: id, rows });
    m.encode(MONTH, present, UnixMs(wall)).unwrap().value
}

fn total(object: &[u8]) -> u64 {
    UsageObject::decode(object).unwrap().totals().iter().map(|t| t.2).sum()
}

// Guards against a month taken from the local time zone, or off by one day at its first or last
// instant, also around leap days.
#[test]
fn month_containing_boundaries() {
    for (ms, month) in [
        (0, 197_001),
        (DECEMBER - 1, 202_611),
        (DECEMBER, 202_612),
        (DECEMBER + 31 * DAY - 1, 202_612),
        (DECEMBER + 31 * DAY, 202_701),
        (1_709_164_800_000, 202_402),
        (1_709_251_200_000, 202_403),
        (951_782_400_000, 200_002),
        (951_868_800_000, 200_003),
    ] {
        assert_eq!(Month::containing(UnixMs(ms)), Month(month), "{ms}");
    }
    assert_eq!(MONTH.to_string(), "2026-12");
}

// Guards against counting a request that was served just before the end of a month in the next one.
#[test]
fn count_months_end() {
    let mut c = UsageCounters::new(process("a", 1));
    let (tenant, class): (Arc<str>, Arc<str>) = ("t".into(), "c".into());
    for (offset, n) in [(-1, 3), (0, 5)] {
        for _ in 0..n {
            c.count(UnixMs(DECEMBER.saturating_add_signed(offset)), &tenant, &class);
        }
    }
    let counts: Vec<_> = c.rows().iter().map(|r| (r.key.month.0, r.served)).collect();
    assert_eq!(counts, [(202_611, 3), (202_612, 5)]);
}

// Guards against double counting when a write is repeated after a lost response, or when a report
// arrives twice or late. A restarted process counts from zero and adds to the total.
#[test]
fn encode_repeated_and_late() {
    let first = merge_report(None, process("a", 1), vec![row("x", 10)], DECEMBER).unwrap();
    let again = merge_report(Some(&first), process("a", 1), vec![row("x", 10)], DECEMBER);
    assert_eq!(again, None, "nothing changed");
    let late = merge_report(Some(&first), process("a", 1), vec![row("x", 7)], DECEMBER);
    assert_eq!(late, None);
    let more = merge_report(Some(&first), process("a", 1), vec![row("x", 12)], DECEMBER).unwrap();
    assert_eq!(total(&more), 12);
    let restarted =
        merge_report(Some(&more), process("a", 2), vec![row("x", 1)], DECEMBER).unwrap();
    assert_eq!(total(&restarted), 13);
}

// Guards against adding the counts of a folded process again when a late report of it arrives.
#[test]
fn encode_folded_process() {
    let first = merge_report(None, process("a", 1), vec![row("x", 10)], DECEMBER).unwrap();
    let later = DECEMBER + FOLD_AGE.as_millis() as u64;
    let folded = merge_report(Some(&first), process("b", 1), vec![row("x", 1)], later).unwrap();
    assert_eq!(total(&folded), 11);
    let late = merge_report(Some(&folded), process("a", 1), vec![row("x", 10)], later);
    assert_eq!(late, None);
    let text = String::from_utf8(folded).unwrap();
    assert!(text.contains(r#""folded":[["a",[1]]]"#), "{text}");
}

// Guards against folding a live process that is idle for longer than the fold age: what it counts
// later would be lost.
#[test]
fn encode_idle_process() {
    let mut object = merge_report(None, process("a", 1), vec![row("x", 10)], DECEMBER);
    for day in 1..20 {
        let wall = DECEMBER + day * DAY;
        object = merge_report(object.as_deref(), process("b", 1), vec![row("x", day)], wall);
        // The keepalive that an idle process reports to the writer.
        object = merge_report(object.as_deref(), process("a", 1), vec![row("x", 10)], wall);
    }
    let end = DECEMBER + 20 * DAY;
    let object = merge_report(object.as_deref(), process("a", 1), vec![row("x", 12)], end).unwrap();
    assert_eq!(total(&object), 12 + 19);
}

// Guards against confirming a report of which a row was dropped because its key was omitted and not
// known: the peer would not send the count again.
#[test]
fn on_report_unknown_key() {
    let mut m = UsageMerge::new(Time::ZERO, process("writer", 1));
    m.set_holder(Time::ZERO, true);
    let report = |seq, key: bool| {
        let mut r = row("x", 10 + seq);
        r.key = r.key.filter(|_| key);
        UsageReport { seq, process: process("a", 1), rows: vec![r] }
    };
    for (seq, key, confirmed) in [(1, false, false), (2, true, true), (3, false, true)] {
        m.on_report(Time::ZERO, peer_addr(), report(seq, key));
        let write = m.encode(MONTH, None, UnixMs(DECEMBER)).unwrap();
        let confirm = m.on_written(&write);
        let expected = UsageAction::Confirm { to: peer_addr(), seqs: vec![seq] };
        assert_eq!(confirm.contains(&expected), confirmed, "report {seq}");
    }
}

// Guards against silently replacing a damaged object by an empty one.
#[test]
fn encode_damaged_object() {
    let m = UsageMerge::new(Time::ZERO, process("writer", 1));
    for text in ["", "{}", r#"{"keys":[],"settled":[1],"processes":[],"folded":[]}"#] {
        let result = m.encode(MONTH, Some(text.as_bytes()), UnixMs(DECEMBER));
        assert!(matches!(result, Err(UsageError::Parse(_))), "{text}");
    }
}

// Guards against an object that exceeds the platform's size limit at design size: a month with 100
// hosts of the longest allowed names, 70 restarts a day under new names, and 35 services with two
// classes each.
#[test]
fn encode_size() {
    let name = |i: u64| format!("{i:0>width$}", width = membership::MAX_HOST_NAME_LEN);
    let classes: Vec<String> =
        (0..70).map(|i| format!("service-{i:02}-class-with-a-name")).collect();
    let (mut object, mut largest, mut expected) = (None::<Vec<u8>>, 0, 0);
    for day in 0..31 {
        let wall = DECEMBER + day * DAY;
        let mut m = UsageMerge::new(Time::ZERO, process("writer", 1));
        // The hosts that run all month, and those that are replaced on this day.
        let running = (0..100).map(|i| (i, (day + 1) * 900_000));
        let replaced = (0..70).map(|i| (1_000 + day * 70 + i, 300_000 + i));
        for (i, served) in running.chain(replaced) {
            let rows = (0..70).map(|k| indexed(k, &classes[k as usize], served)).collect();
            let process = process(&name(i), 1_796_083_200_000 << 10);
            m.on_report(Time::ZERO, peer_addr(), UsageReport { seq: 0, process, rows });
        }
        expected += 70 * (0..70).map(|i| 300_000 + i).sum::<u64>();
        let bytes = m.encode(MONTH, object.as_deref(), UnixMs(wall)).unwrap().value.unwrap();
        largest = largest.max(bytes.len());
        object = Some(bytes);
        let running = 100 * 70 * (day + 1) * 900_000;
        assert_eq!(total(object.as_deref().unwrap()), expected + running, "day {day}");
    }
    println!("usage object after a month at design size: at most {largest} bytes of 1,048,576");
    assert!(largest <= MAX_USAGE_OBJECT_LEN);
}
