//! How hosts whose seeds don't answer find each other through the store.
//!
//! One object of the store holds the contacts, the hosts that were alone last. A host that is alone asks them, and
//! registers as one of them if none answers. Hosts that read the store anyway see new contacts with their checks and
//! ask them too, so that a fleet which has formed without a host meets it. While hosts meet through their seeds, the
//! object is neither read nor written. Contacts don't expire; the number of them is limited, and the oldest leave.

use crate::time::{Time, scaled};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of contacts.
pub const MAX_CONTACTS: usize = 8;
/// Time alone after which a host reads the contacts. Seeds answer within about half a second.
const READ_AFTER: Duration = Duration::from_millis(500);
/// Time over which the first reads of hosts that start together are spread, so that most of them find the contacts
/// that the first ones register.
const READ_SPREAD: Duration = Duration::from_millis(800);
/// Time in which a contact answers.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Delay before the contacts are read again, which doubles each time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest such delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A host that was alone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its address for peers.
    pub addr: SocketAddr,
}

/// The hosts that were alone last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Contacts {
    /// Oldest first, at most [`MAX_CONTACTS`], each name once.
    hosts: Vec<Contact>,
}

impl Contacts {
    /// Adds a host as the newest one, in place of the one with its name or, if there are too many, of the oldest.
    pub fn add(&mut self, contact: Contact) {
        self.hosts.retain(|c| c.name != contact.name);
        self.hosts.push(contact);
        let surplus = self.hosts.len().saturating_sub(MAX_CONTACTS);
        self.hosts.drain(..surplus);
    }

    /// Returns the hosts, oldest first.
    pub fn hosts(&self) -> &[Contact] {
        &self.hosts
    }
}

impl FromIterator<Contact> for Contacts {
    fn from_iter<I>(hosts: I) -> Self
    where
        I: IntoIterator<Item = Contact>,
    {
        let mut contacts = Contacts::default();
        hosts.into_iter().for_each(|host| contacts.add(host));
        contacts
    }
}

/// What a host that is alone does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiscoveryStep {
    /// It reads the contacts, and asks them.
    Read,
    /// It registers as a contact, on the condition that nobody has changed the contacts since it read them.
    Register,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// The host knows others, or has just started.
    Connected,
    /// The host is alone, and its next step is due at the given time.
    Alone(DiscoveryStep, Time),
}

/// When a host that is alone reads the contacts and registers as one.
#[derive(Clone, Debug)]
pub struct Discovery {
    own: Contact,
    state: State,
    retry_delay: Duration,
}

impl Discovery {
    /// Returns the state of a host that starts.
    pub fn new(own: Contact) -> Self {
        Discovery { own, state: State::Connected, retry_delay: MIN_RETRY_DELAY }
    }

    /// Returns the step that is due, if any. To be called several times a second; `jitter` is random, from 0 to 1.
    pub fn next(&mut self, now: Time, is_alone: bool, jitter: f64) -> Option<DiscoveryStep> {
        match (is_alone, self.state) {
            (false, _) => self.state = State::Connected,
            (true, State::Connected) => {
                let due = now + READ_AFTER + scaled(READ_SPREAD, jitter);
                self.state = State::Alone(DiscoveryStep::Read, due);
                self.retry_delay = MIN_RETRY_DELAY;
            }
            (true, State::Alone(step, due)) if now >= due => return Some(step),
            (true, State::Alone(..)) => {}
        }
        None
    }

    /// Records the contacts that were read.
    pub fn on_read(&mut self, now: Time, contacts: &Contacts) {
        let is_registered = contacts.hosts().contains(&self.own);
        let has_others = contacts.hosts().iter().any(|c| c.name != self.own.name);
        if is_registered {
            self.retry(now);
        } else {
            let due = if has_others { now + ANSWER_TIME } else { now };
            self.state = State::Alone(DiscoveryStep::Register, due);
        }
    }

    /// Records that the host could not register, as the contacts have changed.
    pub fn on_conflict(&mut self, now: Time) {
        self.state = State::Alone(DiscoveryStep::Read, now);
    }

    /// Records that the host has registered, or that a call to the store failed.
    pub fn retry(&mut self, now: Time) {
        self.state = State::Alone(DiscoveryStep::Read, now + self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}
