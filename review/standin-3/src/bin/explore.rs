use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use geraniummux_review_3::http1::Message;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Vec<u64> = std::env::args().skip(1).map(|a| a.parse().unwrap()).collect();
    let (n, size, resp) = (args[0], args[1] as usize, args[2] as usize);
    let record = Arc::new(Record::create(std::path::Path::new("/tmp/explore.txt"))?);
    let mut fleet = Fleet::new(record.clone()).await?;
    fleet.memory_mb = 195.0;
    for _ in 0..4 {
        fleet.add_target("survey-archive", 50, move |t: Arc<Target>, req: Message, peer| async move {
                t.run(&req, peer, resp).await
            }).await?;
    }
    fleet.configure(1,
        json!([{"name": "r-survey", "host": "spires.example", "path-prefix": "/survey/", "route-type": "safe",
            "timeout-s": 30, "target-latency-s": 2.5, "priority": 1, "service": "survey-archive", "max-attempts": 1}]),
        &["survey-archive"]);
    fleet.start_host(fleet.store_addr)?;
    fleet.until_ready().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let addr = fleet.hosts[0].listen;
    println!("before: {} kB", fleet.hosts[0].resident_kb("VmRSS"));
    let mut set = tokio::task::JoinSet::new();
    for i in 0..n {
        set.spawn(async move {
            let mut s = TcpStream::connect(addr).await?;
            let head = format!("POST /survey/{i} HTTP/1.1\r\nHost: spires.example\r\nRequest-Id: a{i}\r\nRequest-Deadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n");
            s.write_all(head.as_bytes()).await?;
            let chunk = vec![b'x'; 4096];
            let mut sent = 0;
            while sent < size {
                s.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
                s.write_all(&chunk).await?;
                s.write_all(b"\r\n").await?;
                sent += chunk.len();
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
            s.write_all(b"0\r\n\r\n").await?;
            // reads slowly
            tokio::time::sleep(Duration::from_secs(5)).await;
            let mut buf = vec![0; 1 << 16];
            let k = s.read(&mut buf).await?;
            Ok::<_, std::io::Error>(String::from_utf8_lossy(&buf[..k.min(30)]).into_owned())
        });
    }
    for _ in 0..15 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        println!("rss {} kB, peak {} kB", fleet.hosts[0].resident_kb("VmRSS"), fleet.hosts[0].resident_kb("VmHWM"));
    }
    let mut counts = std::collections::BTreeMap::new();
    while let Some(r) = set.join_next().await {
        let k = match r? { Ok(s) => s.lines().next().unwrap_or("").to_owned(), Err(e) => e.to_string() };
        *counts.entry(k).or_insert(0) += 1;
    }
    println!("{counts:?}");
    fleet.stop().await;
    Ok(())
}
