//! Reads the platform's store while that is this host's task.

use crate::feed;
use crate::host::Host;
use crate::store::{ConfigNews, Currency, Store, StoreError};
use geraniummux_core::fleet::{ReadSource, ReaderOptions, read_source};
use rand::RngExt;
use slog::{info, warn};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a watch waits for changes. It bounds how long a store that has lost track of a watch
/// goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(12);
/// Time after changes of targets in which further ones are collected, so that a release costs fewer calls.
/// It is short against the two seconds in which a leaving target has to be known.
const COLLECT: Duration = Duration::from_millis(120);
/// Pause after a first failed call; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(1_200);
/// Interval between decisions whether to read.
const REVIEW: Duration = Duration::from_millis(100);
/// Interval between checks whether the store answers a host that watches it: a watch that waits shows
/// nothing, as the store may ignore some hosts without a sign. With the time for an answer, and that of the
/// hosts that read instead, it has to stay within two seconds.
const CHECK_EVERY: Duration = Duration::from_millis(300);
/// Time for the answer to a check; a slow store takes about 250 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the start in which the members get to know each other before any of them reads.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Reads the store once, so that the host can serve before it has heard of any peer.
pub async fn start<S>(host: Arc<Host>, store: Arc<S>)
where
    S: Store,
{
    let (config, targets) = tokio::join!(
        read_config(&host, &*store, Currency::Outdated),
        list(&host, &*store, Currency::Outdated)
    );
    info!(host.log, "first_read"; "config" => config.is_ok(), "targets" => targets.is_ok(),
        "version" => host.config_version());
}

/// Reads the store whenever that is this host's task, until the task is dropped.
pub async fn run<S>(host: Arc<Host>, store: Arc<S>)
where
    S: Store,
{
    let opts = ReaderOptions::default();
    let started = host.now();
    let mut tasks: Vec<tokio::task::JoinHandle<()>> = Vec::new();
    loop {
        tokio::time::sleep(REVIEW).await;
        let now = host.now();
        if now.since(started) < SETTLE {
            continue;
        }
        let position = feed::Order::of(&host.members()).place;
        let heard = host.knowledge().from_peers(now);
        let reads = !tasks.is_empty();
        match (read_source(position.rank, heard, reads, &opts), reads) {
            (ReadSource::Store, false) => {
                info!(host.log, "reading_store"; "rank" => position.rank,
                    "hosts" => position.hosts, "age_ms" => heard.age.as_millis() as u64);
                let lost = Arc::new(Notify::new());
                let (targets, config) = (lost.clone(), lost.clone());
                tasks.push(tokio::spawn(watch_targets(host.clone(), store.clone(), targets)));
                tasks.push(tokio::spawn(watch_config(host.clone(), store.clone(), config)));
                tasks.push(tokio::spawn(check(host.clone(), store.clone(), lost)));
            }
            (ReadSource::Peers, true) => {
                info!(host.log, "reading_peers"; "rank" => position.rank,
                    "hosts" => position.hosts, "age_ms" => heard.age.as_millis() as u64);
                for task in tasks.drain(..) {
                    task.abort();
                }
                let mut knowledge = host.knowledge();
                knowledge.set_watches_targets(now, false);
                knowledge.set_watches_config(now, false);
            }
            (ReadSource::Store, true) | (ReadSource::Peers, false) => {}
        }
    }
}

/// Pauses between failed calls.
struct Pauses(Duration);

impl Pauses {
    fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }

    /// Waits before the next call. History that is gone is no failure of the store.
    async fn wait_after(&mut self, error: &StoreError) {
        if matches!(error, StoreError::HistoryGone) {
            return;
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(MAX_PAUSE);
    }
}

/// Checks whether the store still answers, while watches wait. Ends the watches if it doesn't: it may
/// have dropped them for good.
async fn check<S>(host: Arc<Host>, store: Arc<S>, lost: Arc<Notify>)
where
    S: Store,
{
    let mut proven = host.now();
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        let asked = host.now();
        if !host.knowledge().watches() {
            // The lists that precede the watches show it.
            proven = asked;
            continue;
        }
        let answer = timeout(CHECK_TIMEOUT, store.check()).await;
        let answer = answer.unwrap_or_else(|_| Err(unanswered()));
        note(&host, "check", answer.as_ref().err());
        if answer.is_ok() {
            proven = asked;
            continue;
        }
        host.knowledge().lose_watches(proven);
        lost.notify_waiters();
        host.note_news();
    }
}

fn unanswered() -> StoreError {
    StoreError::Unreachable(String::from("no answer to a check"))
}

/// Waits for the answer to a watch, unless a check gets none.
async fn unless_lost<T, F>(lost: &Notify, watch: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    tokio::select! {
        answer = watch => answer,
        () = lost.notified() => Err(unanswered()),
    }
}

async fn watch_targets<S>(host: Arc<Host>, store: Arc<S>, lost: Arc<Notify>)
where
    S: Store,
{
    let mut pauses = Pauses(FIRST_PAUSE);
    loop {
        // A list proves that the store is reached. A watch alone doesn't, as long as it waits.
        while let Err(e) = list(&host, &*store, Currency::Latest).await {
            pauses.wait_after(&e).await;
        }
        pauses.reset();
        host.knowledge().set_watches_targets(host.now(), true);
        let error = loop {
            let revision = host.fleet().registry.revision().unwrap_or(0);
            let result = unless_lost(&lost, store.watch_targets(revision, WATCH_WAIT)).await;
            note(&host, "watch_targets", result.as_ref().err());
            match result {
                Ok(delta) => {
                    let changed = !delta.changes.is_empty();
                    host.apply(delta, "store");
                    if changed {
                        tokio::time::sleep(COLLECT).await;
                    }
                }
                Err(e) => break e,
            }
        };
        host.knowledge().set_watches_targets(host.now(), false);
        pauses.wait_after(&error).await;
    }
}

async fn watch_config<S>(host: Arc<Host>, store: Arc<S>, lost: Arc<Notify>)
where
    S: Store,
{
    let mut pauses = Pauses(FIRST_PAUSE);
    loop {
        while let Err(e) = read_config(&host, &*store, Currency::Latest).await {
            pauses.wait_after(&e).await;
        }
        pauses.reset();
        host.knowledge().set_watches_config(host.now(), true);
        let error = loop {
            let revision = host.knowledge().config_revision.unwrap_or(0);
            let result = unless_lost(&lost, store.watch_config(revision, WATCH_WAIT)).await;
            note(&host, "watch_config", result.as_ref().err());
            match result {
                Ok(news) => take_in(&host, news),
                Err(e) => break e,
            }
        };
        host.knowledge().set_watches_config(host.now(), false);
        pauses.wait_after(&error).await;
    }
}

async fn list<S>(host: &Host, store: &S, currency: Currency) -> Result<(), StoreError>
where
    S: Store,
{
    let result = store.list_targets(currency).await;
    note(host, "list_targets", result.as_ref().err());
    host.apply(result?, "store");
    Ok(())
}

async fn read_config<S>(host: &Host, store: &S, currency: Currency) -> Result<(), StoreError>
where
    S: Store,
{
    let result = store.read_config(currency).await;
    note(host, "read_config", result.as_ref().err());
    take_in(host, result?);
    Ok(())
}

fn take_in(host: &Host, news: ConfigNews) {
    if let Some(why) = news.invalid {
        warn!(host.log, "config_invalid"; "revision" => news.revision, "error" => why,
            "kept" => host.config_version());
    }
    if let Some(config) = news.config {
        host.adopt(config, news.revision, "store");
    }
    let mut knowledge = host.knowledge();
    knowledge.config_revision = knowledge.config_revision.max(Some(news.revision));
}

/// Records the end of a call, and logs when the store is lost or regained.
fn note(host: &Host, call: &str, error: Option<&StoreError>) {
    let result = match error {
        None => "ok",
        Some(StoreError::HistoryGone) => "history_gone",
        Some(StoreError::Refused(_)) => "refused",
        Some(StoreError::Unreachable(_)) => "unreachable",
        Some(StoreError::Invalid(_)) => "invalid",
    };
    host.metrics.store_call(call, result);
    let answered = matches!(error, None | Some(StoreError::HistoryGone | StoreError::Invalid(_)));
    host.knowledge().on_store_call(host.now(), answered);
    if let Some(e) = error {
        warn!(host.log, "store_call_failed"; "call" => call, "error" => e.to_string());
    }
}
