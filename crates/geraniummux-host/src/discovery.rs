//! Finds the other hosts through the store while this host is alone, as its seeds may all be gone.

use crate::host::{Host, Phase};
use crate::peers;
use crate::reader::record_call;
use crate::store::{Store, StoredContacts, WriteResult};
use geraniummux_core::fleet::{Contact, Contacts, Discovery, DiscoveryStep};
use rand::RngExt;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether a step is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the contacts whenever this host is alone, and registers it as one of them, until the task is dropped.
pub async fn run<S>(host: Arc<Host>, store: Arc<S>)
where
    S: Store,
{
    let own = {
        let members = host.members();
        let me = members.local_member();
        Contact { name: me.name.clone(), addr: me.addr }
    };
    let mut discovery = Discovery::new(own.clone());
    let mut stored = StoredContacts::default();
    loop {
        let is_alone = host.members().is_alone() && host.phase() == Phase::Serving;
        let jitter = rand::rng().random_range(0.0..1.0);
        let Some(step) = discovery.next(host.now(), is_alone, jitter) else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        match step {
            DiscoveryStep::Read => {
                let result = store.read_contacts().await;
                record_call(&host, "read_contacts", result.as_ref().err());
                match result {
                    Ok(read) => {
                        info!(host.log, "contacts_read"; "hosts" => read.contacts.hosts().len());
                        stored = read;
                        discovery.on_read(host.now(), &stored.contacts);
                        ask(&host, &stored.contacts);
                    }
                    Err(_) => discovery.retry(host.now()),
                }
            }
            DiscoveryStep::Register => {
                let mut contacts = stored.contacts.clone();
                contacts.add(own.clone());
                let result = store.write_contacts(&contacts, stored.revision).await;
                record_call(&host, "write_contacts", result.as_ref().err());
                match result {
                    Ok(WriteResult::Written) => {
                        warn!(host.log, "registered_as_contact"; "hosts" => contacts.hosts().len());
                        discovery.retry(host.now());
                        ask(&host, &contacts);
                    }
                    Ok(WriteResult::Conflict) => discovery.on_conflict(host.now()),
                    Err(_) => discovery.retry(host.now()),
                }
            }
        }
    }
}

/// Asks the contacts that this host does not know.
pub fn ask(host: &Arc<Host>, contacts: &Contacts) {
    let addrs = contacts.hosts().iter().map(|c| c.addr);
    let actions = host.members().add_contacts(host.now(), addrs);
    peers::perform_actions(host, actions);
}
