//! The operator takes the only tenant out of the configuration. Counts the requests that run although no configuration
//! in force holds their key, and the keys and names of tenants that targets get.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

const HOSTS: usize = 3;
const TARGETS: usize = 4;
/// Time after the store's acknowledgement from which a version binds, and the stability window.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const TENANT: &str = "t-plant";
const KEY: &str = "k-5d0c1f7a93b2";
/// A key that no configuration ever holds.
const FOREIGN_KEY: &str = "k-000000000000";
const ROUNDS: usize = 30;

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    let record = Arc::new(record);
    match timeout(Duration::from_secs(110), run(record.clone(), trouble)).await {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::FAILURE,
        Ok(Err(e)) => {
            record.say(format!("could not run: {e:#}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("could not run: out of time");
            ExitCode::from(2)
        }
    }
}

async fn run(record: Arc<Record>, trouble: bool) -> anyhow::Result<bool> {
    let mut fleet = Fleet::new(record.clone()).await?;
    fleet.memory_mb = 512.0;
    fleet.extra = json!({"cores": 0.5, "link_mbps": 200.0, "promises": {"repeat_ratio": 0.2, "repeat_slack": 294,
        "repeat_window_s": 10, "drain_s": 2.5, "grace_s": 6, "max_ttl_s": 5, "probes_per_s": 60, "heartbeat_s": 1.5,
        "allowance_window_s": 5, "allowance_overage": 0.1, "allowance_slack": 20, "lapse_s": 2.0}});
    let out = play(&mut fleet, trouble).await;
    fleet.stop().await;
    out
}

fn routes() -> Value {
    json!([
        {"name": "r-meter", "host": "plants.example", "path-prefix": "/meter/", "route-type": "safe", "timeout-s": 3,
            "target-latency-s": 0.5, "priority": 0, "service": "dispatch-api", "max-attempts": 2},
        {"name": "r-order", "host": "plants.example", "path-prefix": "/order/", "route-type": "unsafe", "timeout-s": 4,
            "target-latency-s": 0.8, "priority": 1, "service": "dispatch-api", "max-attempts": 2}])
}

/// What a target got with a request.
type Arrivals = Arc<Mutex<HashMap<String, (Option<String>, Option<String>)>>>;

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    let arrivals: Arrivals = Arc::default();
    for _ in 0..TARGETS {
        let arrivals = arrivals.clone();
        let handler = move |t: Arc<Target>, req: Message, peer| {
            let arrivals = arrivals.clone();
            async move {
                let id = req.header("request-id").unwrap_or("").to_owned();
                let (key, tenant) = (req.header("key").map(Into::into), req.header("tenant-id").map(Into::into));
                t.record.line(format!("target {} gets {id} with Key {key:?} and Tenant-Id {tenant:?}", t.id));
                arrivals.lock().unwrap().insert(id, (key, tenant));
                t.run(&req, peer, 400).await
            }
        };
        fleet.add_target("dispatch-api", 50, handler).await?;
    }
    let tenant = json!([{"name": TENANT, "api-keys": [KEY], "priority": 1}]);
    fleet.configure_with(1, routes(), &["dispatch-api"], Some(tenant));
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    fleet.until_ready().await?;
    tokio::time::sleep(STABILITY_WINDOW + Duration::from_secs(1)).await;
    let mut served = 0;
    for n in 0..HOSTS * 4 {
        served += usize::from(send(fleet, &format!("aa{n:06x}"), n, Some(KEY)).await == Some(200));
    }
    anyhow::ensure!(served == HOSTS * 4, "only {served} requests with the tenant's key were served");
    if trouble {
        fleet.configure_with(2, routes(), &["dispatch-api"], Some(json!([])));
        record.say(format!("trouble: version 2 takes tenant {TENANT} and its key away; tenants is an empty list"));
    }
    tokio::time::sleep(CONFIG_APPLY + STABILITY_WINDOW).await;
    let (mut foreign, mut dropped, mut keyless) = (0, 0, 0);
    for n in 0..ROUNDS {
        let id = format!("bb{n:06x}");
        send(fleet, &id, n, Some(FOREIGN_KEY)).await;
        foreign += usize::from(arrivals.lock().unwrap().contains_key(&id));
        let id = format!("cc{n:06x}");
        send(fleet, &id, n, None).await;
        keyless += usize::from(arrivals.lock().unwrap().contains_key(&id));
        if trouble {
            let id = format!("dd{n:06x}");
            send(fleet, &id, n, Some(KEY)).await;
            dropped += usize::from(arrivals.lock().unwrap().contains_key(&id));
        }
    }
    let arrivals = arrivals.lock().unwrap();
    let keys = arrivals.values().filter(|(key, _)| key.is_some()).count();
    let spoofed = arrivals.values().filter(|(_, tenant)| tenant.as_deref() == Some("t-other")).count();
    record.say(format!(
        "of {ROUNDS} each: {foreign} requests ran with a key that no config held, {keyless} without a key, {dropped} with the key \
         that was taken away; {keys} keys and {spoofed} forged names of tenants were passed on to targets"
    ));
    Ok(foreign + keyless + dropped + keys + spoofed == 0)
}

/// Sends a request that also names another tenant, and returns the status of the response.
async fn send(fleet: &Fleet, id: &str, n: usize, key: Option<&str>) -> Option<u16> {
    let addr = fleet.hosts[n % HOSTS].listen;
    let key = key.map_or(String::new(), |k| format!("Key: {k}\r\n"));
    let req = format!(
        "POST /order/{n} HTTP/1.1\r\nHost: plants.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 4000\r\n\
         Tenant-Id: t-other\r\n{key}Content-Length: 0\r\n\r\n"
    );
    let rsp = caller::send(addr, req.as_bytes(), Duration::from_secs(5)).await;
    let status = rsp.ok().flatten().map(|r| r.status);
    fleet.record.line(format!("caller sent {id} to {addr} with {:?} and got {status:?}", key.trim()));
    status
}
