//! Tests of the load table: reports, estimates and digests.

use geraniummux_core::load::{
    AttemptEnd, DIGEST_ENTRY_LEN, DIGEST_MAX_ENTRIES, DIGEST_OVERHEAD_LEN, DigestEntry, LoadDigest,
    LoadOptions, LoadReport, LoadTable, Refusal, TargetId,
};
use geraniummux_core::{Pool, Time};
use std::time::Duration;

fn pool(name: &str, targets: usize) -> Pool {
    let targets: Vec<serde_json::Value> = (0..targets)
        .map(|i| {
            serde_json::json!({"name": format!("t{i:03}"), "failure_domain": "d0",
                "addr": format!("10.0.{}.{}:80", i / 250, i % 250)})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"name": name, "targets": targets})).unwrap()
}

fn table(targets: usize) -> LoadTable {
    LoadTable::new(&[pool("p", targets)], LoadOptions::default())
}

/// Records a request to a target and its response with a load report.
fn respond(table: &mut LoadTable, id: TargetId, outstanding: u32, latency_ms: u64, now: Time) {
    let sent = now - Duration::from_millis(latency_ms);
    table.on_sent(id, sent);
    let report = LoadReport { in_flight: outstanding, queued: 0 };
    table.on_end(id, sent, AttemptEnd::Answered, Some(report), now);
}

/// Records responses of all targets for a second, so that the pool means settle. Returns the ids of
/// the targets and the time after it.
fn warm_up(table: &mut LoadTable, targets: usize) -> (Vec<TargetId>, Time) {
    let ids: Vec<TargetId> =
        (0..targets).map(|i| table.id("p", &format!("t{i:03}")).unwrap()).collect();
    for ms in 100..1_100 {
        respond(table, ids[ms % targets], 3, 10, Time::from_millis(ms as u64));
    }
    (ids, Time::from_millis(1_100))
}

// Guards against malformed reports that are accepted, and valid ones that are rejected because of
// an unknown metric.
#[test]
fn parse_load_report() {
    let cases = [
        ("TEXT named_metrics.in_flight=3,named_metrics.queued=2", Some((3, 2))),
        ("TEXT cpu_utilization=0.4, named_metrics.in_flight=6", Some((6, 0))),
        ("TEXT named_metrics.queued=1", None),
        ("TEXT named_metrics.in_flight=-1", None),
        ("TEXT named_metrics.in_flight=NaN", None),
        ("JSON {}", None),
        ("", None),
    ];
    for (text, expected) in cases {
        let report = LoadReport::parse(text).map(|r| (r.in_flight, r.queued));
        assert_eq!(report, expected, "{text:?}");
    }
}

// Guards against a late response of a removed target that is attributed to a new target of the same
// name.
#[test]
fn update_removed_target_ignores_late_answer() {
    let mut table = table(2);
    let old = table.id("p", "t001").unwrap();
    table.on_sent(old, Time::from_millis(1));
    table.update(&[pool("p", 1)]);
    table.update(&[pool("p", 2)]);
    let new = table.id("p", "t001").unwrap();
    assert_ne!(old, new);
    table.on_end(old, Time::from_millis(1), AttemptEnd::Answered, None, Time::from_millis(9));
    assert_eq!(table.in_flight(new), 0);
    assert!(table.estimate(old, Time::from_millis(9)).is_none());
}

// Guards against observations that are lost with each edit of the pools.
#[test]
fn update_keeps_known_targets() {
    let mut table = table(2);
    let id = table.id("p", "t000").unwrap();
    table.on_sent(id, Time::from_millis(1));
    table.update(&[pool("a", 1), pool("p", 3)]);
    assert_eq!(table.id("p", "t000"), Some(id));
    assert_eq!(table.in_flight(id), 1);
}

// Guards against an estimate that is based on an old report.
#[test]
fn estimate_report_ages_towards_mean() {
    let mut table = table(5);
    let (ids, now) = warm_up(&mut table, 5);
    respond(&mut table, ids[0], 40, 10, now);
    let at = |ms| table.estimate(ids[0], now + Duration::from_millis(ms)).unwrap().outstanding;
    assert!(at(0) > 39.0 && at(20) < 30.0 && at(500) < 5.0, "{} {} {}", at(0), at(20), at(500));
}

// Guards against a target that fails fast and therefore gets a better estimate than a working one.
#[test]
fn estimate_failure_counts_as_slow() {
    let mut table = table(5);
    let (ids, now) = warm_up(&mut table, 5);
    table.on_sent(ids[0], now);
    let report = Some(LoadReport::default());
    table.on_end(ids[0], now, AttemptEnd::Failed, report, now + Duration::from_micros(200));
    let later = now + Duration::from_millis(1);
    let failing = table.estimate(ids[0], later).unwrap().latency_ms;
    let working = table.estimate(ids[1], later).unwrap().latency_ms;
    assert!(failing > 2.0 * working, "{failing} {working}");
}

// Guards against a target that sheds load and is chosen again for the next request.
#[test]
fn estimate_refusal_counts_as_full() {
    let mut table = table(5);
    let (ids, now) = warm_up(&mut table, 5);
    table.on_sent(ids[0], now);
    table.on_end(ids[0], now, AttemptEnd::Refused(Refusal::Shed), None, now);
    assert!(table.estimate(ids[0], now).unwrap().outstanding >= 12.0);
}

// Guards against a target without responses that is chosen until its first request times out.
#[test]
fn estimate_overdue_request_counts_as_slow() {
    let mut table = table(5);
    let (ids, now) = warm_up(&mut table, 5);
    table.on_sent(ids[0], now);
    let at = |ms| table.estimate(ids[0], now + Duration::from_millis(ms)).unwrap().latency_ms;
    assert!(at(200) > 3.0 * at(5), "{} {}", at(200), at(5));
}

// Guards against a target without responses that keeps its share, since each of its requests is
// hedged and cancelled before it times out.
#[test]
fn estimate_cancelled_row_counts_as_slow() {
    let mut table = table(5);
    let (ids, mut now) = warm_up(&mut table, 5);
    for _ in 0..6 {
        let sent = now;
        table.on_sent(ids[0], sent);
        now = now + Duration::from_millis(30);
        table.on_end(ids[0], sent, AttemptEnd::Cancelled, None, now);
    }
    let latency = |i: usize| table.estimate(ids[i], now).unwrap().latency_ms;
    assert!(latency(0) > 1.5 * latency(1), "{} {}", latency(0), latency(1));
}

// Guards against a target weight that has no effect on the estimate.
#[test]
fn estimate_weight_scales_slots() {
    let mut pool = pool("p", 2);
    pool.targets[0].weight = 3.0;
    let mut table = LoadTable::new(&[pool], LoadOptions::default());
    let (ids, now) = warm_up(&mut table, 2);
    respond(&mut table, ids[0], 9, 10, now);
    respond(&mut table, ids[1], 9, 10, now);
    let latency = |i: usize| table.estimate(ids[i], now).unwrap().latency_ms;
    assert!(latency(1) > 1.5 * latency(0), "{} {}", latency(0), latency(1));
}

// Guards against unintended changes of the digest encoding, and against digests that exceed the
// datagram limit.
#[test]
fn digest_encoding_round_trip() {
    let entry = |i| DigestEntry { index: i, outstanding: 255, age_ms: 255, slowness: 255 };
    let digest = LoadDigest {
        targets_hash: u32::MAX,
        entries: (0..DIGEST_MAX_ENTRIES as u16).map(|i| entry(16_384 + i)).collect(),
    };
    let bytes = postcard::to_allocvec(&digest).unwrap();
    // The frame limit is 1,200 bytes without IP and UDP headers.
    assert!(bytes.len() + DIGEST_OVERHEAD_LEN - 28 <= 1_200, "{} bytes", bytes.len());
    assert!(bytes.len() <= 7 + DIGEST_MAX_ENTRIES * DIGEST_ENTRY_LEN, "{} bytes", bytes.len());
    assert_eq!(postcard::from_bytes::<LoadDigest>(&bytes).unwrap(), digest);
    let one = LoadDigest { targets_hash: 1, entries: vec![entry(2)] };
    assert_eq!(postcard::to_allocvec(&one).unwrap(), [1, 1, 2, 255, 255, 255]);
}

// Guards against digest indexes that are applied to other targets at a peer with other pools.
#[test]
fn on_digest_other_tables_is_ignored() {
    let (mut a, mut b) = (table(5), table(6));
    let (ids, now) = warm_up(&mut a, 5);
    warm_up(&mut b, 6);
    respond(&mut a, ids[0], 40, 10, now);
    let due = a.poll_digest(17, now + Duration::from_secs(1)).unwrap();
    let before = b.estimate(b.id("p", "t000").unwrap(), now);
    b.on_digest(&due.digest, now);
    assert_eq!(b.estimate(b.id("p", "t000").unwrap(), now), before);
}

// Guards against herding: if a digest could lower the load of a target with a recent report, all
// hosts would choose that target.
#[test]
fn on_digest_only_raises_known_targets() {
    let mut table = table(5);
    let (ids, now) = warm_up(&mut table, 5);
    let mut digest = table.full_digest(now);
    let index = |outstanding| DigestEntry { index: 0, outstanding, age_ms: 0, slowness: 8 };
    respond(&mut table, ids[0], 4, 10, now);
    let before = table.estimate(ids[0], now).unwrap().outstanding;
    digest.entries = vec![index(0)];
    table.on_digest(&digest, now + Duration::from_millis(1));
    let idle = table.estimate(ids[0], now + Duration::from_millis(1)).unwrap().outstanding;
    assert!(idle > 0.8 * before, "{idle} {before}");
    digest.entries = vec![index(30)];
    table.on_digest(&digest, now + Duration::from_millis(2));
    let loaded = table.estimate(ids[0], now + Duration::from_millis(2)).unwrap().outstanding;
    assert!(loaded > 25.0, "{loaded}");
}

// Guards against digests that exceed their part of the byte budget (R12) when every response makes
// one due.
#[test]
fn poll_digest_bytes_stay_in_budget() {
    for (hosts, targets) in [(18, 15), (100, 520), (300, 520)] {
        let mut table = table(targets);
        let (ids, start) = warm_up(&mut table, targets);
        let mut bytes = 0;
        for ms in 0..10_000 {
            let now = start + Duration::from_millis(ms);
            let load = if ms % 2 == 0 { 200 } else { 0 };
            respond(&mut table, ids[ms as usize % targets], load, 10, now);
            if let Some(due) = table.poll_digest(hosts - 1, now) {
                assert!(due.fanout < hosts);
                let len = DIGEST_OVERHEAD_LEN + due.digest.entries.len() * DIGEST_ENTRY_LEN;
                bytes += due.fanout * len;
            }
        }
        let rate = bytes as f64 / 10.0;
        println!("{hosts} hosts, {targets} targets: {rate:.0} B/s sent");
        // The first second may also spend the tokens of one second that were saved before.
        assert!(bytes <= 11 * 8_000, "{rate} B/s with {hosts} hosts");
        assert!(rate > 4_000.0, "digests were withheld: {rate} B/s with {hosts} hosts");
    }
}
