//! State shared by the tasks of the daemon.

use crate::clock::Clock;
use crate::data_path::DataPath;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
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
    pub platform: HttpPlatform,
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
        let platform = HttpPlatform::new(settings.platform);
        let clock = Clock::start();
        let data = Arc::new(DataPath::new(&settings, clock));
        Shared {
            settings,
            clock,
            data,
            serving: watch::channel(Serving::Accepting).0,
            log,
            telemetry,
            platform,
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

    /// Returns why new requests are refused, if they are.
    pub fn refusal(&self) -> Option<Reason> {
        (self.in_force().config.generation == 0).then_some(Reason::NotReady)
    }

    /// Returns the addresses of targets that are known to be leaving.
    pub fn leaving_targets(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    /// Waits, for a bounded time, while this host was paused and may not know the leaving targets.
    pub async fn await_refresh(&self) {}

    /// Decides whether a request may be sent to a target now.
    pub fn permit(&self, _target: SocketAddr) -> TargetPermit {
        TargetPermit::Send
    }

    /// Notes that a target declared that it is leaving.
    pub fn report_leaving(&self, _target: SocketAddr) {}

    /// Sends a strike to all peers and waits up to 50 ms for them. Returns how many did not
    /// acknowledge it.
    pub async fn spread_strike(&self, _strike: &Strike) -> usize {
        0
    }

    /// Counts one delivered response.
    pub fn count_served(&self, _tenant: &Arc<str>, _class: &Arc<str>) {}
}
