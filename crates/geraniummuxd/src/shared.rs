//! State shared by the tasks of the daemon.

use crate::clock::Clock;
use crate::control::{self, Control};
use crate::data_path::DataPath;
use crate::platform_calls::CountedPlatform;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::{actions, hooks, peer_messages};
use arc_swap::ArcSwap;
use geraniummux_core::Reason;
use geraniummux_core::config::{Config, ConfigState, Offer};
use geraniummux_core::drain::TargetPermit;
use geraniummux_core::quarantine::Strike;
use geraniummux_core::routing::Router;
use geraniummux_platform::HttpPlatform;
use slog::{Logger, info};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// How far the shutdown of the host is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Serving {
    /// Connections and requests are accepted.
    Accepting,
    /// No connection is accepted; requests in flight are finished.
    Draining,
    /// Requests in flight are aborted.
    Aborting,
}

/// The configuration in force with what is derived from it.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration; generation 0 means that none is in force yet.
    pub config: Arc<Config>,
    /// Its routes.
    pub router: Router,
}

/// State shared by the tasks of the daemon.
pub struct Shared {
    /// Settings of this host.
    pub settings: Settings,
    /// The clocks.
    pub clock: Clock,
    /// The root logger.
    pub log: Logger,
    /// Metrics and histograms.
    pub telemetry: Telemetry,
    /// Client of the platform.
    pub platform: CountedPlatform,
    /// Membership, configuration, leaving targets, usage and shutdown.
    pub control: Arc<Control>,
    /// State of the data path.
    pub data: Arc<DataPath>,
    /// How far the shutdown is. The caller's listener and connections follow it.
    pub serving: watch::Sender<Serving>,
    config: Mutex<ConfigState>,
    in_force: ArcSwap<InForce>,
}

impl Shared {
    /// Returns the state of a host that has no configuration yet.
    pub fn new(settings: Settings, log: Logger, telemetry: Telemetry) -> Self {
        let platform = CountedPlatform::new(HttpPlatform::new(settings.platform));
        let clock = Clock::start();
        let control = Arc::new(Control::new(&settings, &clock));
        let data = Arc::new(DataPath::new(&settings, clock));
        Shared {
            settings,
            clock,
            data,
            serving: watch::channel(Serving::Accepting).0,
            log,
            telemetry,
            platform,
            control,
            config: Mutex::default(),
            in_force: ArcSwap::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub fn offer(&self, config: Arc<Config>) -> Offer {
        // The lock is held over the swap, so that two offers can't be swapped in the wrong order.
        let mut state = self.config.lock().unwrap_or_else(|e| e.into_inner());
        let offer = state.offer(config);
        if offer == Offer::Adopted {
            let config = state.current().clone();
            info!(self.log, "config_adopted"; "generation" => config.generation,
                "routes_revision" => config.routes_revision.number,
                "pools_revision" => config.pools_revision.number);
            let router = Router::new(&config.tables);
            self.data.update(&config.tables);
            self.in_force.store(Arc::new(InForce { config, router }));
        }
        offer
    }

    /// Returns the addresses of targets that are known to be leaving.
    pub fn leaving_targets(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut leaving: Vec<SocketAddr> =
            self.control.lock().drain.notices(now).into_iter().map(|n| n.target).collect();
        let in_force = self.in_force();
        let targets = in_force.config.tables.pools.iter().flat_map(|p| &p.targets);
        leaving.extend(targets.filter(|t| t.leaving).map(|t| t.addr));
        leaving
    }

    /// Waits, for a bounded time, while this host was paused and may not know the leaving targets
    /// or the latest configuration. Returns whether it had to wait.
    ///
    /// # Errors
    ///
    /// [`Reason::NotReady`] if this host may hold an outdated configuration.
    pub async fn await_refresh(&self) -> Result<bool, Reason> {
        let start = self.clock.now();
        control::fresh(self).await?;
        Ok(self.clock.now().since(start) >= control::HOLD_POLL)
    }

    /// Decides whether a request may be sent to a target now.
    pub fn permit(&self, target: SocketAddr) -> TargetPermit {
        self.control.permit(target, self.clock.now())
    }

    /// Notes that a target declared that it is leaving.
    pub fn report_leaving(&self, target: SocketAddr) {
        actions::report_draining(self, target);
    }

    /// Sends a strike to all peers and waits up to 50 ms for them. Returns how many did not
    /// acknowledge it.
    pub async fn spread_strike(&self, strike: &Strike) -> usize {
        match hooks::strike_message(strike) {
            Some(message) => peer_messages::broadcast_strike(self, message).await,
            None => 0,
        }
    }

    /// Counts one delivered response.
    pub fn count_served(&self, tenant: &Arc<str>, class: &Arc<str>) {
        self.control.count(&self.clock, tenant, class);
    }
}
