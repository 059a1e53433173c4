//! Slot requests of this host that await decisions of schedulers.

use geraniummux_core::fleet::SlotDecision;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// A slot request that awaits decisions.
struct PendingSlot {
    number: u64,
    /// Address of the scheduler that was asked.
    scheduler: SocketAddr,
    decisions: UnboundedSender<SlotDecision>,
}

/// Bits of a number that count the requests of a process; those above tell processes apart.
const COUNTER_BITS: u32 = 32;

/// The slot requests that await decisions.
///
/// Schedulers know a request by its host and its number, and may still know requests of a process of this host
/// that was killed. The numbers of a process therefore begin at random.
pub struct PendingSlots(Mutex<Pending>);

struct Pending {
    next_number: u64,
    /// Sorted by number, as numbers are drawn under the same lock.
    slots: Vec<PendingSlot>,
}

/// What became of a decision that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The request that awaits it has it.
    Delivered,
    /// No request with its number awaits decisions.
    UnknownNumber,
    /// It was sent by another scheduler than the one that the request has asked.
    OtherScheduler,
}

impl Delivery {
    /// Returns the name of the result in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Delivery::Delivered => "delivered",
            Delivery::UnknownNumber => "unknown_number",
            Delivery::OtherScheduler => "other_scheduler",
        }
    }
}

impl Default for PendingSlots {
    fn default() -> Self {
        let first = u64::from(rand::random::<u32>()) << COUNTER_BITS;
        PendingSlots(Mutex::new(Pending { next_number: first, slots: Vec::new() }))
    }
}

impl PendingSlots {
    /// Adds a slot request to the scheduler at an address. Returns its number and its decisions.
    pub fn open(&self, scheduler: SocketAddr) -> (u64, UnboundedReceiver<SlotDecision>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut pending = self.lock();
        let number = pending.next_number;
        pending.next_number += 1;
        pending.slots.push(PendingSlot { number, scheduler, decisions: tx });
        (number, rx)
    }

    /// Removes a slot request.
    pub fn close(&self, number: u64) {
        let mut pending = self.lock();
        if let Ok(i) = pending.slots.binary_search_by_key(&number, |s| s.number) {
            pending.slots.remove(i);
        }
    }

    /// Passes a decision of the scheduler at `from` to the request that awaits it.
    pub fn deliver(&self, from: SocketAddr, number: u64, decision: SlotDecision) -> Delivery {
        let slots = &self.lock().slots;
        let Ok(i) = slots.binary_search_by_key(&number, |s| s.number) else {
            return Delivery::UnknownNumber;
        };
        if slots[i].scheduler != from {
            return Delivery::OtherScheduler;
        }
        // The receiver is gone if the request has ended; its scheduler has been notified of that.
        let _ = slots[i].decisions.send(decision);
        Delivery::Delivered
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
