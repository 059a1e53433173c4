//! State shared by the tasks of the daemon. Begin with [`Shared`].

use crate::clock::Clock;
use crate::control::Control;
use crate::data_path::DataPath;
use crate::peer_messages;
use crate::platform_calls::CountingPlatform;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use arc_swap::ArcSwap;
use geraniummux_core::Fingerprint;
use geraniummux_core::config::{Adoption, Config, ConfigState};
use geraniummux_core::drain::TargetPermit;
use geraniummux_core::routing::Router;
use geraniummux_platform::HttpPlatform;
use slog::{Logger, info};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The configuration in force, with data derived from it.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration. Its generation is 0 until the first one is adopted.
    pub config: Arc<Config>,
    /// Router for the routes of the configuration.
    pub router: Router,
    /// Addresses of the targets that the pools table marks as leaving.
    pub leaving: Vec<SocketAddr>,
}

/// State shared by the tasks of the daemon.
pub struct Shared {
    /// Settings of this host.
    pub settings: Settings,
    /// Clocks of the process.
    pub clock: Clock,
    /// The root logger.
    pub log: Logger,
    /// Metrics and latency histograms.
    pub telemetry: Telemetry,
    /// Client of the platform.
    pub platform: CountingPlatform,
    /// Membership, configuration, leaving targets, usage and shutdown.
    pub control: Arc<Control>,
    /// State of the data path.
    pub data: Arc<DataPath>,
    config: Mutex<ConfigState>,
    in_force: ArcSwap<InForce>,
}

impl Shared {
    /// Returns the state of a host that starts and has no configuration yet.
    pub fn new(settings: Settings, log: Logger, telemetry: Telemetry) -> Self {
        let platform = CountingPlatform::new(HttpPlatform::new(settings.platform));
        let clock = Clock::start();
        let control = Arc::new(Control::new(&settings, &clock));
        let data = Arc::new(DataPath::new(&settings, clock));
        Shared {
            settings,
            clock,
            log,
            telemetry,
            platform,
            control,
            data,
            config: Mutex::default(),
            in_force: ArcSwap::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it did,
    /// or else whether the configuration is the current one or an older one.
    pub fn adopt_if_newer(&self, config: Arc<Config>) -> Adoption {
        // The lock is held during the swap, so that concurrent calls can't swap in the wrong order.
        let mut state = self.config.lock().unwrap_or_else(|e| e.into_inner());
        let adoption = state.adopt_if_newer(config);
        if adoption == Adoption::Adopted {
            let config = state.current().clone();
            info!(self.log, "config_adopted"; "generation" => config.generation,
                "routes_revision" => config.routes_revision.number,
                "pools_revision" => config.pools_revision.number);
            let router = Router::new(&config.tables);
            self.data.update(&config.tables);
            let targets = config.tables.pools.iter().flat_map(|p| &p.targets);
            let leaving = targets.filter(|t| t.leaving).map(|t| t.addr).collect();
            self.in_force.store(Arc::new(InForce { config, router, leaving }));
        }
        adoption
    }

    /// Returns the addresses of targets that are known to be leaving.
    pub fn leaving_targets(&self) -> Vec<SocketAddr> {
        let mut leaving = self.control.lock().drain.leaving(self.clock.now());
        leaving.extend(&self.in_force().leaving);
        leaving
    }

    /// Returns whether a request may be sent to a target now. Doesn't wait while requests are held
    /// after a pause.
    pub fn may_send(&self, target: SocketAddr) -> bool {
        self.control.permit(target, self.clock.now()) == TargetPermit::Send
    }

    /// Sends a crash report to all peers and waits at most 50 ms for their acknowledgements.
    /// Returns the number of peers that did not acknowledge it.
    pub async fn send_crash_report(&self, fingerprint: Fingerprint, target: SocketAddr) -> usize {
        let crash_report = wire_crash_report(fingerprint, target, false);
        peer_messages::broadcast_crash_report(self, crash_report).await
    }

    /// Retracts the crash reports of a request at all peers, since a target responded to it.
    pub fn retract_crash_reports(self: &Arc<Self>, fingerprint: Fingerprint) {
        // A retraction applies to all targets.
        let any_target = SocketAddr::from(([0, 0, 0, 0], 0));
        let crash_report = wire_crash_report(fingerprint, any_target, true);
        let shared = self.clone();
        tokio::spawn(
            async move { peer_messages::broadcast_crash_report(&shared, crash_report).await },
        );
    }
}

fn wire_crash_report(
    fingerprint: Fingerprint,
    target: SocketAddr,
    retracted: bool,
) -> geraniummux_wire::CrashReport {
    // The id is assigned when the report is sent.
    geraniummux_wire::CrashReport {
        id: 0,
        fingerprint: fingerprint.into(),
        target,
        age_ms: 0,
        retracted,
    }
}
