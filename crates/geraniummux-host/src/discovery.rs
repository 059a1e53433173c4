//! Finds the other hosts through the store while this host is alone, as its seeds may all be gone.

use crate::host::{Host, Phase};
use crate::peers;
use crate::reader::record_call;
use crate::store::{ContactStore, StoreError, StoredContacts, WriteResult};
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
    S: ContactStore,
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
        let result = match step {
            DiscoveryStep::Read => read(&host, &*store).await.map(|read| {
                stored = read;
                discovery.on_read(host.now(), &stored.contacts);
            }),
            DiscoveryStep::Register => {
                register(&host, &*store, &stored, &own).await.map(|result| match result {
                    WriteResult::Written => discovery.retry(host.now()),
                    WriteResult::Conflict => discovery.on_conflict(host.now()),
                })
            }
        };
        if result.is_err() {
            discovery.retry(host.now());
        }
    }
}

/// Reads the contacts and asks them.
async fn read<S>(host: &Arc<Host>, store: &S) -> Result<StoredContacts, StoreError>
where
    S: ContactStore,
{
    let result = store.read_contacts().await;
    record_call(host, "read_contacts", result.as_ref().err());
    let stored = result?;
    info!(host.log, "contacts_read"; "hosts" => stored.contacts.hosts().len());
    ask(host, &stored.contacts);
    Ok(stored)
}

/// Adds this host to the contacts that were read.
async fn register<S>(
    host: &Arc<Host>,
    store: &S,
    stored: &StoredContacts,
    own: &Contact,
) -> Result<WriteResult, StoreError>
where
    S: ContactStore,
{
    let mut contacts = stored.contacts.clone();
    contacts.add(own.clone());
    let result = store.write_contacts(&contacts, stored.revision).await;
    record_call(host, "write_contacts", result.as_ref().err());
    let result = result?;
    if result == WriteResult::Written {
        warn!(host.log, "registered_as_contact"; "hosts" => contacts.hosts().len());
        ask(host, &contacts);
    }
    Ok(result)
}

/// Asks the contacts that this host does not know.
pub fn ask(host: &Arc<Host>, contacts: &Contacts) {
    let addrs = contacts.hosts().iter().map(|c| c.addr);
    let actions = host.members().add_contacts(host.now(), addrs);
    peers::perform_actions(host, actions);
}
