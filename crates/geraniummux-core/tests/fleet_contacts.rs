//! Hosts whose seeds are all gone find each other through the contacts in the store.

use geraniummux_core::fleet::{Contact, Contacts, Discovery, DiscoveryStep, MAX_CONTACTS};
use geraniummux_core::membership::{Gossip, MembershipAction, MembershipOptions};
use geraniummux_core::{Member, MemberState, Membership, Time};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(20);
/// Interval at which hosts that read the store check it.
const CHECK_INTERVAL_MS: u128 = 300;
/// Time within which each host has met one that knows of the rest.
const MET_WITHIN: Duration = Duration::from_secs(3);
/// Time within which gossip has told each host of all others, without what replicas of the store tell them.
const FOUND_WITHIN: Duration = Duration::from_secs(20);

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_000))
}

fn contact(i: usize) -> Contact {
    Contact { name: format!("host-{i}").into(), addr: addr(i) }
}

struct Process {
    members: Membership,
    discovery: Discovery,
    /// What it read last, with the revision.
    read: (Contacts, u64),
    /// Whether it relies on its view of the other hosts.
    relies: bool,
}

/// Hosts, numbered from 0, some of which run, and a store.
struct Fleet {
    rng: StdRng,
    now: Time,
    loss: f64,
    hosts: Vec<Option<Process>>,
    contacts: Contacts,
    revision: u64,
    /// Whether the store responds.
    store_is_up: bool,
    reads: usize,
    writes: usize,
    conflicts: usize,
    /// Smallest number of hosts that one knew when it began to rely on its view, itself included.
    fewest_at_reliance: usize,
}

impl Fleet {
    /// Returns a fleet of `count` hosts, none of which runs.
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            now: START,
            loss,
            hosts: (0..count).map(|_| None).collect(),
            contacts: Contacts::default(),
            revision: 0,
            store_is_up: true,
            reads: 0,
            writes: 0,
            conflicts: 0,
            fewest_at_reliance: usize::MAX,
        }
    }

    /// Starts a host. The first three are the seeds.
    fn start(&mut self, i: usize) {
        let local = Member {
            name: contact(i).name,
            addr: addr(i),
            http_addr: addr(i),
            failure_domain: "a".into(),
            capacity: 70,
            incarnation: self.now.as_micros(),
            state: MemberState::Alive,
        };
        let opts = MembershipOptions {
            probe_interval: Duration::from_millis(400),
            reconnect_interval: Duration::from_secs(2),
            sync_interval: Duration::from_secs(15),
            ..MembershipOptions::default()
        };
        let seeds = (0..3).map(addr).collect();
        let members = Membership::new(self.now, local, seeds, opts, &mut self.rng);
        let discovery = Discovery::new(contact(i));
        self.hosts[i] =
            Some(Process { members, discovery, read: (Contacts::default(), 0), relies: false });
    }

    fn kill(&mut self, i: usize) {
        self.hosts[i] = None;
    }

    fn index(&self, to: SocketAddr) -> Option<usize> {
        (0..self.hosts.len()).find(|i| addr(*i) == to && self.hosts[*i].is_some())
    }

    /// Carries out the actions of a host, and all that follows from them.
    fn perform(&mut self, from: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, gossip } if !self.rng.random_bool(self.loss) => {
                    self.deliver(from, to, gossip);
                }
                MembershipAction::Sync { peer } => {
                    let Some(to) = self.index(peer) else { continue };
                    let Some(own) = self.hosts[from].as_ref().map(|h| h.members.snapshot()) else {
                        continue;
                    };
                    let peers = self.hosts[to].as_mut().unwrap();
                    let actions = peers.members.merge(self.now, own);
                    let theirs = peers.members.snapshot();
                    self.perform(to, actions);
                    let actions =
                        self.hosts[from].as_mut().unwrap().members.merge(self.now, theirs);
                    self.perform(from, actions);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, gossip: Gossip) {
        let (Some(to), Some(sender)) = (self.index(to), self.hosts[from].as_ref()) else { return };
        let me = sender.members.local_member();
        let (name, incarnation) = (me.name.clone(), me.incarnation);
        let (now, rng) = (self.now, &mut self.rng);
        let receiver = &mut self.hosts[to].as_mut().unwrap().members;
        let actions = receiver.receive(now, &name, incarnation, addr(from), gossip, rng);
        self.perform(to, actions);
    }

    fn step_host(&mut self, i: usize) {
        let now = self.now;
        let jitter = self.rng.random::<f64>();
        let Some(host) = &mut self.hosts[i] else { return };
        let mut actions = host.members.tick(now, &mut self.rng);
        match host.discovery.next(now, host.members.is_alone(), jitter) {
            Some(_) if !self.store_is_up => host.discovery.retry(now),
            Some(DiscoveryStep::Read) => {
                self.reads += 1;
                host.read = (self.contacts.clone(), self.revision);
                host.discovery.on_read(now, &host.read.0);
                let addrs = host.read.0.hosts().iter().map(|c| c.addr);
                actions.extend(host.members.add_contacts(now, addrs));
            }
            Some(DiscoveryStep::Register) if host.read.1 != self.revision => {
                self.conflicts += 1;
                host.discovery.on_conflict(now);
            }
            Some(DiscoveryStep::Register) => {
                self.writes += 1;
                self.revision += 1;
                self.contacts.add(contact(i));
                host.discovery.retry(now);
                actions.extend(host.members.add_contacts(now, [addr(i)]));
            }
            None => {}
        }
        self.perform(i, actions);
    }

    /// Lets time pass. Every 300 ms, the first running host of each half reads the contacts with a check.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            (0..self.hosts.len()).for_each(|i| self.step_host(i));
            self.note_reliance();
            if self.store_is_up
                && self.now.since(START).as_millis().is_multiple_of(CHECK_INTERVAL_MS)
            {
                let half = self.hosts.len() / 2;
                for range in [0..half, half..self.hosts.len()] {
                    let Some(i) = range.into_iter().find(|i| self.hosts[*i].is_some()) else {
                        continue;
                    };
                    let addrs = self.contacts.hosts().iter().map(|c| c.addr);
                    let members = &mut self.hosts[i].as_mut().unwrap().members;
                    let actions = members.add_contacts(self.now, addrs);
                    self.perform(i, actions);
                }
            }
        }
    }

    /// Returns whether no host is alone, and no group of hosts knows none of the others.
    fn is_connected(&self) -> bool {
        let running: Vec<usize> =
            (0..self.hosts.len()).filter(|i| self.hosts[*i].is_some()).collect();
        let knows = |i: usize, j: usize| {
            let host = self.hosts[i].as_ref().unwrap();
            host.members.peer(&contact(j).name).is_some_and(|m| m.state != MemberState::Dead)
        };
        let mut reached = vec![running[0]];
        let mut next = 0;
        while let Some(i) = reached.get(next).copied() {
            next += 1;
            let new = running.iter().filter(|j| knows(i, **j) || knows(**j, i));
            let new: Vec<usize> = new.filter(|j| !reached.contains(j)).copied().collect();
            reached.extend(new);
        }
        reached.len() == running.len()
    }

    /// Notes how many hosts those know that rely on their view from now on.
    fn note_reliance(&mut self) {
        for host in self.hosts.iter_mut().flatten() {
            if host.members.knows_others() && !std::mem::replace(&mut host.relies, true) {
                let known = host.members.live_peers().count() + 1;
                self.fewest_at_reliance = self.fewest_at_reliance.min(known);
            }
        }
    }

    /// Returns how many hosts the one knows that knows the fewest, itself included.
    fn fewest_known(&self) -> usize {
        let known = self.hosts.iter().flatten().map(|h| h.members.live_peers().count() + 1);
        known.min().unwrap_or(0)
    }

    /// Lets time pass until each running host knows all others, at most `limit`. Returns whether it does.
    fn run_until_whole(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end && !self.is_whole() {
            self.run(STEP);
        }
        self.is_whole()
    }

    /// Returns whether each running host knows all others that run.
    fn is_whole(&self) -> bool {
        self.fewest_known() >= self.hosts.iter().flatten().count()
    }
}

/// Guards against hosts that never find each other after a start without their seeds (RECOVER): each took itself for the
/// only one.
#[test]
fn discovery_seeds_gone_hosts_find_each_other() {
    for (count, loss) in [(6, 0.0), (18, 0.1), (184, 0.0), (312, 0.05)] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(seed, count, loss);
            (3..count).for_each(|i| fleet.start(i));
            fleet.run(MET_WITHIN);
            assert!(fleet.is_connected(), "{count} hosts, seed {seed}");
            assert!(fleet.run_until_whole(FOUND_WITHIN), "{count} hosts, seed {seed}");
            fleet.run(MET_WITHIN);
            let known = fleet.fewest_at_reliance;
            assert!(known * 10 >= (count - 3) * 9, "{count} hosts, seed {seed}: {known} known");
            assert!(fleet.writes <= 8, "{count} hosts, seed {seed}: {} writes", fleet.writes);
            assert!(fleet.reads <= 3 * count, "{count} hosts, seed {seed}: {} reads", fleet.reads);
        }
    }
}

/// Guards against calls to the store by hosts that meet through their seeds.
#[test]
fn discovery_with_seeds_needs_no_calls() {
    for count in [6, 184] {
        let mut fleet = Fleet::new(1, count, 0.0);
        (0..count).for_each(|i| fleet.start(i));
        fleet.run(FOUND_WITHIN);
        assert!(fleet.is_whole(), "{count} hosts");
        assert_eq!((fleet.reads, fleet.writes), (0, 0), "{count} hosts");
    }
}

/// Guards against hosts that are kept apart by contacts which are gone: an earlier fleet has left them.
#[test]
fn discovery_contacts_gone_hosts_find_each_other() {
    let mut fleet = Fleet::new(2, 60, 0.05);
    (0..MAX_CONTACTS).for_each(|i| fleet.contacts.add(contact(i)));
    (20..60).for_each(|i| fleet.start(i));
    assert!(fleet.run_until_whole(FOUND_WITHIN));
    let calls = fleet.writes + fleet.conflicts;
    assert!(calls <= 80, "{calls} writes and conflicts");
}

/// Guards against a host at a new address that never meets a fleet which runs on without its seeds.
#[test]
fn discovery_late_host_meets_running_fleet() {
    let mut fleet = Fleet::new(3, 20, 0.05);
    (0..19).for_each(|i| fleet.start(i));
    fleet.run(FOUND_WITHIN);
    (0..3).for_each(|i| fleet.kill(i));
    fleet.run(FOUND_WITHIN);
    fleet.start(19);
    assert!(fleet.run_until_whole(2 * FOUND_WITHIN));
}

/// Guards against hosts that give up looking for each other while the store is away.
#[test]
fn discovery_store_away_hosts_find_each_other_later() {
    let mut fleet = Fleet::new(4, 30, 0.05);
    fleet.store_is_up = false;
    (3..30).for_each(|i| fleet.start(i));
    fleet.run(Duration::from_secs(20));
    assert_eq!((fleet.reads, fleet.writes), (0, 0));
    fleet.store_is_up = true;
    assert!(fleet.run_until_whole(2 * FOUND_WITHIN));
}

/// Guards against a store that returns from a copy which lacks the contacts: the hosts that are still alone register
/// again.
#[test]
fn discovery_contacts_lost_host_registers_again() {
    let mut fleet = Fleet::new(5, 5, 0.0);
    fleet.start(3);
    fleet.run(FOUND_WITHIN);
    assert_eq!(fleet.contacts.hosts(), [contact(3)]);
    fleet.contacts = Contacts::default();
    fleet.run(2 * FOUND_WITHIN);
    assert_eq!(fleet.contacts.hosts(), [contact(3)]);
    fleet.start(4);
    assert!(fleet.run_until_whole(FOUND_WITHIN));
}

/// Guards against contacts that grow without end, or hold a former address beside the present one.
#[test]
fn add_contact_replaces_same_name_or_oldest() {
    let mut contacts: Contacts = (0..MAX_CONTACTS).map(contact).collect();
    contacts.add(Contact { addr: addr(200), ..contact(0) });
    contacts.add(contact(100));
    let expected: Vec<Contact> = (2..MAX_CONTACTS)
        .map(contact)
        .chain([Contact { addr: addr(200), ..contact(0) }, contact(100)])
        .collect();
    assert_eq!(contacts.hosts(), expected);
}
