//! Reads and watches the platform's store while this host is one of its readers.

use crate::discovery;
use crate::host::Host;
use crate::peers;
use crate::replication;
use crate::store::{ConfigUpdate, Consistency, Store, StoreCheck, StoreError, UnknownRouteType};
use crate::tasks;
use geraniummux_core::fleet::{
    ReadSource, ReaderOptions, RegistryDelta, Revision, StoreChecks, read_source,
};
use rand::RngExt;
use slog::{info, warn};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a watch waits for changes. It bounds the time for which it goes unnoticed that the store
/// has lost track of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(12);
/// Delay after changes of targets in which further changes accumulate, so that a release costs fewer
/// calls. It is short compared with the two seconds within which a leaving target has to be known.
const BATCH_DELAY: Duration = Duration::from_millis(120);
/// Delay after a first failed call; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Interval between decisions whether this host reads the store.
const ROLE_REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether the store still responds to a host that watches it. A waiting watch
/// does not show that, as the store may ignore some hosts without an error. Together with the time for
/// a response and the time until other hosts read instead, it has to stay within two seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for the response to a check; a slow store takes about 250 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a standby reader or a later host tells the others that it reads the store. They may
/// not expect that of it, and follow other hosts.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(4);
/// Interval of these announcements, some of which may be lost.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start in which members discover each other before any of them reads the store.
const STARTUP_SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Time for which a watch of the evacuations waits, as a share of the time within which they have to have effect.
/// The rest is for the list after a watch that the store has lost, and for passing them on.
const EVACUATION_WATCH_SHARE: f64 = 0.4;

/// Time after the start in which a host that is no reader does not check the store, as the first updates of
/// its peers may take that long in a large fleet.
const STARTUP_CHECK_DELAY: Duration = Duration::from_secs(3);

/// Time over which hosts spread their reads of a configuration that they got incomplete.
const CONFIRMATION_SPREAD: Duration = Duration::from_millis(100);

/// Reads the store once, so that the host can serve before it has reached any peer.
pub async fn read_once<S>(host: Arc<Host>, store: Arc<S>)
where
    S: Store,
{
    let targets_outside_evacuations = async {
        // The evacuations are in force before the targets can get requests.
        let (_, targets) = tokio::join!(
            read_evacuations(&host, &*store),
            list_call(&host, &*store, Consistency::Stale)
        );
        apply_list(&host, targets)
    };
    let (config, targets) =
        tokio::join!(read_config(&host, &*store, Consistency::Stale), targets_outside_evacuations);
    info!(host.log, "first_read"; "config" => config.is_ok(), "targets" => targets.is_ok(),
        "version" => host.config_version());
}

/// Reads and watches the store whenever this host is one of its readers, until the task is dropped.
pub async fn run<S>(host: Arc<Host>, store: Arc<S>)
where
    S: Store,
{
    let opts = ReaderOptions::default();
    let started = host.now();
    let mut watches = Watches::default();
    let mut checks = StoreChecks::new(opts);
    // Until when other hosts are told that this one reads the store, and when next.
    let (mut announce_until, mut next_announcement) = (started, started);
    loop {
        tokio::time::sleep(ROLE_REVIEW_INTERVAL).await;
        let now = host.now();
        if now.since(started) < STARTUP_SETTLE_TIME {
            continue;
        }
        let position = replication::ReaderOrder::of(&host.members()).position;
        let peer_freshness = host.freshness().peer_freshness(now);
        let is_reading = !watches.tasks.is_empty();
        let mut source = read_source(position.rank, peer_freshness, is_reading, &opts);
        match source {
            ReadSource::StoreIfResponsive if now.since(started) < STARTUP_CHECK_DELAY => {
                source = ReadSource::Peers;
            }
            ReadSource::StoreIfResponsive => {
                if checks.is_due(now) {
                    let result = timeout(CHECK_TIMEOUT, store.check()).await;
                    let result = result.unwrap_or_else(|_| Err(check_timed_out()));
                    record_call(&host, "check", result.as_ref().err());
                    let jitter = rand::rng().random_range(0.75..1.25);
                    checks.record(host.now(), result.is_ok(), jitter);
                }
                // Most hosts need not read, as those that read first pass on what they have read.
                let reads = checks.reads(host.now(), position.rank);
                source = if reads { ReadSource::Store } else { ReadSource::Peers };
            }
            ReadSource::Store | ReadSource::Peers => checks = StoreChecks::new(opts),
        }
        if now < announce_until && now >= next_announcement && host.freshness().is_watching() {
            next_announcement = now + ANNOUNCEMENT_INTERVAL;
            peers::announce_reading(&host);
        }
        match (source, is_reading) {
            (ReadSource::Store, false) => {
                if position.rank >= opts.primary_readers {
                    announce_until = now + ANNOUNCEMENT_TIME;
                }
                info!(host.log, "reading_store"; "rank" => position.rank,
                    "hosts" => position.hosts, "age_ms" => peer_freshness.age.as_millis() as u64);
                let checked = watches.checked.clone();
                let (targets, config) = (checked.clone(), checked.clone());
                let s = store.clone();
                let task = move |host| watch_targets(host, s.clone(), targets.clone());
                watches.tasks.push(AbortOnDrop(tasks::spawn(&host, "watch_targets", task)));
                let s = store.clone();
                let task = move |host| watch_config(host, s.clone(), config.clone());
                watches.tasks.push(AbortOnDrop(tasks::spawn(&host, "watch_config", task)));
                let s = store.clone();
                let task = move |host| monitor_store(host, s.clone(), checked.clone());
                watches.tasks.push(AbortOnDrop(tasks::spawn(&host, "monitor_store", task)));
            }
            (ReadSource::Peers | ReadSource::StoreIfResponsive, true) => {
                info!(host.log, "reading_peers"; "rank" => position.rank,
                    "hosts" => position.hosts, "age_ms" => peer_freshness.age.as_millis() as u64);
                watches = Watches::default();
                let mut freshness = host.freshness();
                freshness.set_watching_targets(now, false);
                freshness.set_watching_config(now, false);
            }
            (ReadSource::Store, true)
            | (ReadSource::Peers | ReadSource::StoreIfResponsive, false) => {}
        }
        // The settings may have changed.
        let may_evacuate = host.settings.load().evacuation_limit().is_some();
        watches.evacuations = match (source, watches.evacuations.take()) {
            (ReadSource::Store, None) if may_evacuate => {
                let (s, checked) = (store.clone(), watches.checked.clone());
                let task = move |host| watch_evacuations(host, s.clone(), checked.clone());
                Some(AbortOnDrop(tasks::spawn(&host, "watch_evacuations", task)))
            }
            (ReadSource::Store, task) if may_evacuate => task,
            _ => None,
        };
    }
}

/// The tasks that watch the store; they end when this is dropped.
#[derive(Default)]
struct Watches {
    tasks: Vec<AbortOnDrop>,
    /// The task that watches the evacuations, if failure domains are evacuated at all.
    evacuations: Option<AbortOnDrop>,
    checked: Arc<StoreState>,
}

/// A task that ends when this is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Exponential backoff between failed calls.
struct Backoff {
    delay: Duration,
    /// Whether the last watch failed because the store lacks the history.
    history_was_gone: bool,
}

impl Backoff {
    fn new() -> Self {
        Backoff { delay: MIN_BACKOFF, history_was_gone: false }
    }

    /// Records that a list succeeded. A list after which the watch fails again is no progress.
    fn on_list(&mut self) {
        if !self.history_was_gone {
            self.delay = MIN_BACKOFF;
        }
    }

    /// Records that a watch succeeded.
    fn on_watch(&mut self) {
        *self = Backoff::new();
    }

    /// Waits before the next call after a failed one. Missing history is no failure of the store and causes no delay the
    /// first time.
    async fn wait_after(&mut self, error: &StoreError) {
        let is_history_gone = matches!(error, StoreError::HistoryGone | StoreError::Restored);
        if is_history_gone && !std::mem::replace(&mut self.history_was_gone, true) {
            return;
        }
        self.wait().await;
    }

    /// Waits before the next call.
    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(self.delay.mul_f64(jitter)).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

/// What the checks of the store show to the watches that wait meanwhile.
#[derive(Default)]
struct StoreState {
    /// Notified when the store does not respond to a check.
    lost: Notify,
    /// The latest era in which the store responded.
    era: watch::Sender<u64>,
}

/// Checks that the store still responds while watches wait, and in the same era. If not, the watches end, as
/// the store may have dropped them for good.
async fn monitor_store<S>(host: Arc<Host>, store: Arc<S>, checked: Arc<StoreState>)
where
    S: Store,
{
    // When the last call was sent to which the store responded.
    let mut last_responsive_at = host.now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let sent_at = host.now();
        if !host.freshness().is_watching() {
            // Before the watches are established, the lists show whether the store responds.
            last_responsive_at = sent_at;
            continue;
        }
        let result = timeout(CHECK_TIMEOUT, store.check()).await;
        let result = result.unwrap_or_else(|_| Err(check_timed_out()));
        record_call(&host, "check", result.as_ref().err());
        if let Ok(StoreCheck { era, contacts }) = result {
            last_responsive_at = sent_at;
            checked.era.send_if_modified(|e| std::mem::replace(e, era.max(*e)) < era);
            discovery::ask(&host, &contacts);
            continue;
        }
        host.freshness().lose_watches(last_responsive_at);
        checked.lost.notify_waiters();
        host.notify_followers();
    }
}

fn check_timed_out() -> StoreError {
    StoreError::Unreachable(String::from("no response to a check"))
}

/// Waits for the response to a watch from a revision. Fails if a check gets no response meanwhile, or one of a
/// later era: a watch that outlives the store's return from a copy waits for changes of a lost history.
async fn while_store_responds<T, F>(
    checked: &StoreState,
    revision: Revision,
    watch: F,
) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut era = checked.era.subscribe();
    tokio::select! {
        result = watch => result,
        () = checked.lost.notified() => Err(check_timed_out()),
        Ok(_) = era.wait_for(|e| *e > revision.era) => Err(StoreError::Restored),
    }
}

async fn watch_targets<S>(host: Arc<Host>, store: Arc<S>, checked: Arc<StoreState>)
where
    S: Store,
{
    host.freshness().set_watching_targets(host.now(), false);
    let mut backoff = Backoff::new();
    loop {
        // A list shows that the store responds; a watch does not, as long as it waits.
        while let Err(e) = list(&host, &*store, Consistency::Latest).await {
            backoff.wait_after(&e).await;
        }
        backoff.on_list();
        host.freshness().set_watching_targets(host.now(), true);
        let error = loop {
            let revision = host.fleet().registry.revision().unwrap_or_default();
            let watch = store.watch_targets(revision, WATCH_WAIT);
            let result = while_store_responds(&checked, revision, watch).await;
            record_call(&host, "watch_targets", result.as_ref().err());
            match result {
                Ok(delta) => {
                    backoff.on_watch();
                    let changed = !delta.changes.is_empty();
                    host.apply_targets(delta, "store");
                    if changed {
                        tokio::time::sleep(BATCH_DELAY).await;
                    }
                }
                Err(e) => break e,
            }
        };
        host.freshness().set_watching_targets(host.now(), false);
        backoff.wait_after(&error).await;
    }
}

async fn watch_config<S>(host: Arc<Host>, store: Arc<S>, checked: Arc<StoreState>)
where
    S: Store,
{
    host.freshness().set_watching_config(host.now(), false);
    let mut backoff = Backoff::new();
    loop {
        while let Err(e) = read_config(&host, &*store, Consistency::Latest).await {
            backoff.wait_after(&e).await;
        }
        backoff.on_list();
        host.freshness().set_watching_config(host.now(), true);
        let error = loop {
            let revision = host.freshness().config_revision.unwrap_or_default();
            let watch = store.watch_config(revision, WATCH_WAIT);
            let result = while_store_responds(&checked, revision, watch).await;
            record_call(&host, "watch_config", result.as_ref().err());
            match result {
                Ok(update) => {
                    backoff.on_watch();
                    apply_config_update(&host, update);
                }
                Err(e) => break e,
            }
        };
        host.freshness().set_watching_config(host.now(), false);
        backoff.wait_after(&error).await;
    }
}

/// Watches the evacuations. Each watch that ends without a change is followed by a list, as the store may have lost
/// track of the watch or lag behind with it. Both together take much less than the time in which an evacuation has
/// to have effect.
async fn watch_evacuations<S>(host: Arc<Host>, store: Arc<S>, checked: Arc<StoreState>)
where
    S: Store,
{
    let mut backoff = Backoff::new();
    loop {
        let result = store.list_evacuations(Consistency::Latest).await;
        record_call(&host, "list_evacuations", result.as_ref().err());
        let mut evacuations = match result {
            Ok(evacuations) => evacuations,
            Err(e) => {
                backoff.wait_after(&e).await;
                continue;
            }
        };
        backoff.on_list();
        host.adopt_evacuations(evacuations.clone(), "store");
        let mut position = evacuations.revision;
        let ended = loop {
            let limit = host.settings.load().evacuation_limit().unwrap_or(WATCH_WAIT);
            let wait = limit.mul_f64(EVACUATION_WATCH_SHARE).min(WATCH_WAIT);
            let watch = store.watch_evacuations(position, wait);
            let result = while_store_responds(&checked, position, watch).await;
            record_call(&host, "watch_evacuations", result.as_ref().err());
            match result {
                Ok(update) => {
                    backoff.on_watch();
                    position = update.revision;
                    if update.changes.is_empty() {
                        break None;
                    }
                    for (domain, is_evacuated) in &update.changes {
                        evacuations.set(domain, *is_evacuated);
                    }
                    evacuations.revision = position;
                    host.adopt_evacuations(evacuations.clone(), "store");
                }
                Err(e) => break Some(e),
            }
        };
        match ended {
            Some(error) => backoff.wait_after(&error).await,
            // A store that ends watches at once must not be asked without a pause.
            None => tokio::time::sleep(MIN_BACKOFF).await,
        }
    }
}

/// Reads the evacuations for a host that starts, if failure domains are evacuated at all.
async fn read_evacuations<S>(host: &Host, store: &S) -> Result<(), StoreError>
where
    S: Store,
{
    if host.settings.load().evacuation_limit().is_none() {
        return Ok(());
    }
    let result = store.list_evacuations(Consistency::Stale).await;
    record_call(host, "list_evacuations", result.as_ref().err());
    host.adopt_evacuations(result?, "store");
    Ok(())
}

/// Reads the configuration whenever the one in force has parts that a peer of a former build could not send.
pub async fn confirm_config<S>(host: Arc<Host>, store: Arc<S>)
where
    S: Store,
{
    let mut changes = host.replica_changes();
    let mut backoff = Backoff::new();
    loop {
        changes.borrow_and_update();
        if host.config().is_none_or(|c| c.is_confirmed()) {
            backoff = Backoff::new();
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        // Many hosts get the same change at the same time.
        tokio::time::sleep(CONFIRMATION_SPREAD.mul_f64(rand::random())).await;
        let read = read_config(&host, &*store, Consistency::Latest).await;
        if read.is_err() || host.config().is_some_and(|c| !c.is_confirmed()) {
            backoff.wait().await;
        }
    }
}

async fn list<S>(host: &Host, store: &S, consistency: Consistency) -> Result<(), StoreError>
where
    S: Store,
{
    apply_list(host, list_call(host, store, consistency).await)
}

/// Puts listed targets in use. A host that knows no targets also uses those of an incomplete list.
fn apply_list(host: &Host, list: Result<RegistryDelta, StoreError>) -> Result<(), StoreError> {
    match list {
        Ok(targets) => {
            host.apply_targets(targets, "store");
            Ok(())
        }
        Err(e) => {
            if let StoreError::Incomplete(changes) = &e {
                host.apply_incomplete_list(changes.clone(), "store");
            }
            Err(e)
        }
    }
}

async fn list_call<S>(
    host: &Host,
    store: &S,
    consistency: Consistency,
) -> Result<RegistryDelta, StoreError>
where
    S: Store,
{
    let result = store.list_targets(consistency).await;
    record_call(host, "list_targets", result.as_ref().err());
    result
}

async fn read_config<S>(host: &Host, store: &S, consistency: Consistency) -> Result<(), StoreError>
where
    S: Store,
{
    let result = store.read_config(consistency).await;
    record_call(host, "read_config", result.as_ref().err());
    apply_config_update(host, result?);
    Ok(())
}

fn apply_config_update(host: &Host, update: ConfigUpdate) {
    if let Some(error) = update.invalid {
        warn!(host.log, "config_invalid"; "revision" => %update.revision, "error" => error,
            "kept" => host.config_version());
    }
    if let Some(config) = update.config {
        if config.version > host.config_version() {
            log_unknown_route_types(host, config.version, &update.unknown_route_types);
        }
        host.adopt_config(config, update.revision, "store");
    }
    let mut freshness = host.freshness();
    freshness.config_revision = freshness.config_revision.max(Some(update.revision));
}

/// Logs and counts the types of routes that this version does not know.
fn log_unknown_route_types(host: &Host, version: u64, unknown: &[UnknownRouteType]) {
    for u in unknown {
        host.metrics.unknown_route_type(u.routes);
        warn!(host.log, "route_type_unknown"; "type" => &*u.route_type, "version" => version,
            "routes" => u.routes, "first_route" => &*u.first_route,
            "handled_as" => "not idempotent, one attempt");
    }
}

/// Records the result of a call to the store, and logs it if the call failed.
pub fn record_call(host: &Host, call: &str, error: Option<&StoreError>) {
    let result = match error {
        None => "ok",
        Some(StoreError::HistoryGone) => "history_gone",
        Some(StoreError::Restored) => "restored",
        Some(StoreError::Refused(_)) => "refused",
        Some(StoreError::Unreachable(_)) => "unreachable",
        Some(StoreError::Invalid(_)) => "invalid",
        Some(StoreError::Incomplete(_)) => "incomplete",
    };
    host.metrics.store_call(call, result);
    let responded = match error {
        None
        | Some(
            StoreError::HistoryGone
            | StoreError::Restored
            | StoreError::Invalid(_)
            | StoreError::Incomplete(_),
        ) => true,
        Some(StoreError::Refused(_) | StoreError::Unreachable(_)) => false,
    };
    host.freshness().on_store_call(host.now(), responded);
    if let Some(e) = error {
        warn!(host.log, "store_call_failed"; "call" => call, "error" => e.to_string());
    }
}
