//! Tests of the selection of entry hosts for callers.

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

/// Returns the membership view of host 0 in a fleet of 18 hosts in three failure domains. All hosts
/// of the domains in `dead` are dead.
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

/// Returns how often each host is listed first, and how often it is listed at all, in 60,000
/// responses.
fn count_listings<W>(
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
        let response = EntryResponse::new(m, Some(domain), weight, rng);
        assert_eq!((response.hosts.len(), response.ttl_ms), (3, 5_000));
        *out[0].entry(response.hosts[0].addr).or_default() += 1.0;
        for h in &response.hosts {
            *out[1].entry(h.addr).or_default() += 1.0;
        }
    }
    out
}

/// Returns the largest count divided by the mean count.
fn max_to_mean(counts: &BTreeMap<SocketAddr, f64>) -> f64 {
    let mean = counts.values().sum::<f64>() / counts.len() as f64;
    counts.values().copied().fold(0.0, f64::max) / mean
}

// Guards against a fixed order, in which the first hosts of a domain would receive all its callers.
#[test]
fn entry_response_spreads_evenly() {
    let mut rng = StdRng::seed_from_u64(1);
    let m = fleet(&[], &mut rng);
    for domain in DOMAINS {
        let [first, listed] = count_listings(&m, domain, |_| 1.0, &mut rng);
        println!(
            "domain {domain}: {} hosts, max/mean first {:.3}, listed {:.3}",
            first.len(),
            max_to_mean(&first),
            max_to_mean(&listed)
        );
        assert_eq!((first.len(), listed.len()), (6, 6), "only hosts of the caller's domain");
        assert!(max_to_mean(&first) <= 1.05 && max_to_mean(&listed) <= 1.05);
    }
}

// Guards against callers of a dead domain that receive no host, or all receive the same hosts.
#[test]
fn entry_response_domain_dead() {
    let mut rng = StdRng::seed_from_u64(2);
    let m = fleet(&["b"], &mut rng);
    let [first, listed] = count_listings(&m, "b", |_| 1.0, &mut rng);
    println!("domain b dead: {} hosts, max/mean first {:.3}", first.len(), max_to_mean(&first));
    assert_eq!((first.len(), listed.len()), (12, 12));
    assert!(max_to_mean(&first) <= 1.05 && max_to_mean(&listed) <= 1.05);
}

// Guards against a domain with one host whose callers are left without an entry host when that host
// dies: the list is filled up with two hosts of other domains, after the domain's own host.
#[test]
fn entry_response_filled_from_other_domains() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut m = fleet(&[], &mut rng);
    m.merge(Time::ZERO, vec![host(18, "d")]);
    let [first, listed] = count_listings(&m, "d", |_| 1.0, &mut rng);
    assert_eq!((first.len(), listed.len()), (1, 19));
}

// Guards against ignored weights: a host with twice the weight of the others receives twice the
// share of the callers.
#[test]
fn entry_response_weights() {
    let mut rng = StdRng::seed_from_u64(4);
    let m = fleet(&[], &mut rng);
    let weight = |m: &Member| if &*m.name == "entry-03" { 2.0 } else { 1.0 };
    let [first, _] = count_listings(&m, "a", weight, &mut rng);
    let share = first[&host(3, "a").http_addr] / 60_000.0;
    assert!((share - 2.0 / 7.0).abs() < 0.01, "{share}");
}

// Guards against a change of the documented JSON form.
#[test]
fn entry_response_json() {
    let mut rng = StdRng::seed_from_u64(5);
    let opts = MembershipOptions::default();
    let m = Membership::new(Time::ZERO, host(0, "a"), Vec::new(), opts, &mut rng);
    let response = EntryResponse::new(&m, None, |_| 1.0, &mut rng);
    expect_test::expect![[
        r#"{"hosts":[{"addr":"127.0.0.1:1001","failure_domain":"a"}],"ttl_ms":5000}"#
    ]]
    .assert_eq(&serde_json::to_string(&response).unwrap());
}
