use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let record = Arc::new(Record::create(std::path::Path::new("/tmp/explore.txt"))?);
    let mut fleet = Fleet::new(record.clone()).await?;
    for _ in 0..4 {
        fleet.add_target("svc", 1500, move |t: Arc<Target>, req: Message, peer| async move {
                t.record.line(format!("GOT {} {} {:?} body={:?}", req.method, req.path, req.headers, String::from_utf8_lossy(&req.body)));
                t.run(&req, peer, 20).await
            }).await?;
    }
    fleet.configure(1,
        json!([{"name": "r1", "host": "x.example", "path-prefix": "/s/", "route-type": "safe", "timeout-s": 2, "target-latency-s": 0.5, "priority": 1, "service": "svc", "max-attempts": 2},
        {"name": "r2", "host": "x.example", "path-prefix": "/u/", "route-type": "unsafe", "timeout-s": 2, "target-latency-s": 0.5, "priority": 1, "service": "svc", "max-attempts": 2}]),
        &["svc"]);
    fleet.start_host(fleet.store_addr)?;
    fleet.until_ready().await?;
    println!("{}", fleet.hosts[0].listen);
    tokio::time::sleep(Duration::from_secs(std::env::args().nth(1).unwrap().parse()?)).await;
    fleet.stop().await;
    Ok(())
}
