//! Which entry hosts a caller gets.

use geraniummux_core::membership::MembershipOptions;
use geraniummux_core::{EntryResponse, Member, MemberState, Membership, Time};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn host(i: u16, domain: &str) -> Member {
    Member {
        capacity: 0,
        name: format!("entry-{i:02}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], i + 1)),
        http_addr: SocketAddr::from(([127, 0, 0, 1], i + 1_001)),
        failure_domain: domain.into(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

/// Returns 18 hosts in three domains as host 0 sees them, with some domains dead.
fn fleet(dead: &[&str], rng: &mut StdRng) -> Membership {
    let mut hosts: Vec<Member> = (0..18).map(|i| host(i, DOMAINS[usize::from(i % 3)])).collect();
    let opts = MembershipOptions::default();
    let mut m = Membership::new(Time::ZERO, hosts.remove(0), Vec::new(), opts, rng);
    m.merge(Time::ZERO, hosts.clone());
    for h in hosts.iter_mut().filter(|h| dead.contains(&&*h.failure_domain)) {
        h.state = MemberState::Dead;
    }
    m.merge(Time::ZERO, hosts);
    m
}

/// Returns how often each host was named first, and named at all.
fn counts<W>(
    m: &Membership,
    domain: &str,
    weight: W,
    rng: &mut StdRng,
) -> [BTreeMap<SocketAddr, f64>; 2]
where
    W: Fn(&Member) -> f64 + Copy,
{
    let mut out = [BTreeMap::new(), BTreeMap::new()];
    for _ in 0..60_000 {
        let answer = EntryResponse::new(m, Some(domain), weight, rng);
        assert_eq!((answer.hosts.len(), answer.ttl_ms), (3, 5_000));
        *out[0].entry(answer.hosts[0].addr).or_default() += 1.0;
        for h in &answer.hosts {
            *out[1].entry(h.addr).or_default() += 1.0;
        }
    }
    out
}

fn max_to_mean(counts: &BTreeMap<SocketAddr, f64>) -> f64 {
    let mean = counts.values().sum::<f64>() / counts.len() as f64;
    counts.values().copied().fold(0.0, f64::max) / mean
}

// Guards against a fixed order, in which the first hosts of a domain get all its callers.
#[test]
fn entry_answer_even() {
    let mut rng = StdRng::seed_from_u64(1);
    let m = fleet(&[], &mut rng);
    for domain in DOMAINS {
        let [first, named] = counts(&m, domain, |_| 1.0, &mut rng);
        println!(
            "domain {domain}: {} hosts, max/mean first {:.3}, named {:.3}",
            first.len(),
            max_to_mean(&first),
            max_to_mean(&named)
        );
        assert_eq!((first.len(), named.len()), (6, 6), "only hosts of the caller's domain");
        assert!(max_to_mean(&first) <= 1.05 && max_to_mean(&named) <= 1.05);
    }
}

// Guards against callers of a lost domain that get no host or all get the same ones.
#[test]
fn entry_answer_domain_gone() {
    let mut rng = StdRng::seed_from_u64(2);
    let m = fleet(&["b"], &mut rng);
    let [first, named] = counts(&m, "b", |_| 1.0, &mut rng);
    println!("domain b gone: {} hosts, max/mean first {:.3}", first.len(), max_to_mean(&first));
    assert_eq!((first.len(), named.len()), (12, 12));
    assert!(max_to_mean(&first) <= 1.05 && max_to_mean(&named) <= 1.05);
}

// Guards against a domain with one host whose callers have nowhere to go when it dies: the other
// two addresses come from other domains, after the own one.
#[test]
fn entry_answer_filled_up() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut m = fleet(&[], &mut rng);
    m.merge(Time::ZERO, vec![host(18, "d")]);
    let [first, named] = counts(&m, "d", |_| 1.0, &mut rng);
    assert_eq!((first.len(), named.len()), (1, 19));
}

// Guards against weights that change nothing.
#[test]
fn entry_answer_weights() {
    let mut rng = StdRng::seed_from_u64(4);
    let m = fleet(&[], &mut rng);
    let weight = |m: &Member| if &*m.name == "entry-03" { 2.0 } else { 1.0 };
    let [first, _] = counts(&m, "a", weight, &mut rng);
    let share = first[&host(3, "a").http_addr] / 60_000.0;
    assert!((share - 2.0 / 7.0).abs() < 0.01, "{share}");
}

// Guards against an answer that does not have the documented form.
#[test]
fn entry_answer_json() {
    let mut rng = StdRng::seed_from_u64(5);
    let opts = MembershipOptions::default();
    let m = Membership::new(Time::ZERO, host(0, "a"), Vec::new(), opts, &mut rng);
    let answer = EntryResponse::new(&m, None, |_| 1.0, &mut rng);
    expect_test::expect![[
        r#"{"hosts":[{"addr":"127.0.0.1:1001","failure_domain":"a"}],"ttl_ms":5000}"#
    ]]
    .assert_eq(&serde_json::to_string(&answer).unwrap());
}
