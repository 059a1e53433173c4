use geraniummux_review_3::fleet::{Fleet, ZONES};
use geraniummux_review_3::http1::{Message, Reader};
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::{body, unix_ms};
use geraniummux_standin::object_store::ObjectStore;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, TcpSocket};
use tokio::sync::watch;

#[derive(Clone, Debug)]
struct Sent { host: usize, service: &'static str, is_unsafe: bool, path: String, body_len: usize, at: Instant }
#[derive(Clone, Debug)]
struct Ran { target: String, service: String, at: Instant, path: String, body_ok: bool, method: String }
#[derive(Clone, Debug, Default)]
struct Got { status: u16, sig: Option<String>, id: Option<String>, body: Vec<u8>, leaving: Option<String>, state: String }

#[derive(Default)]
struct Log {
    sent: Mutex<HashMap<String, Sent>>,
    ran: Mutex<HashMap<String, Vec<Ran>>>,
    arrived: Mutex<Vec<(String, String, Instant)>>,
    statuses: Mutex<HashMap<String, Vec<u16>>>,
    got: Mutex<Vec<(String, Got, Instant)>>,
    pauses: Mutex<Vec<(String, String, Instant, f64)>>,
    events: Mutex<Vec<(usize, String, Instant)>>,
}

#[derive(Default)]
struct Chaos { extra: AtomicU64, refuse: AtomicU64, pause: AtomicU64, reset: AtomicU64, breakoff: AtomicU64, unframed: AtomicU64, early: AtomicU64, interim: AtomicU64, hang: AtomicU64, garbage: AtomicU64, fail: AtomicU64, slow: AtomicU64, leaving: AtomicU64 }
impl Chaos {
    fn all(&self) -> [&AtomicU64; 12] { [&self.extra, &self.refuse, &self.pause, &self.reset, &self.breakoff, &self.unframed, &self.early, &self.interim, &self.hang, &self.garbage, &self.fail, &self.slow] }
}
fn hit(p: &AtomicU64) -> bool { let p = p.load(Relaxed); p > 0 && rand::random_range(0..1000) < p }

struct T { addr: SocketAddr, inst: Mutex<(String, String, u64)>, chaos: Chaos, log: Arc<Log>, store: Arc<ObjectStore>, kill: watch::Sender<u64>, running: AtomicU64, zone: String, record: Arc<Record> }
impl T {
    fn reg(&self) { let (id, service, born) = self.inst.lock().unwrap().clone();
        let state = if self.chaos.leaving.load(Relaxed) == 2 { "draining" } else { "ready" };
        self.store.put("servers", &id, json!({"service": service, "address": self.addr.to_string(), "zone": self.zone, "version": "v1", "slots": 6, "state": state, "warmup-left-s": 0, "sequence": 1, "born": born})); }
    async fn serve(self: Arc<Self>, mut l: Option<TcpListener>) {
        let mut kill = self.kill.subscribe();
        loop {
            let Some(open) = &l else {
                tokio::time::sleep(Duration::from_millis(300)).await;
                let s = TcpSocket::new_v4().unwrap(); let _ = s.set_reuseaddr(true);
                l = s.bind(self.addr).ok().and_then(|()| s.listen(1024).ok());
                kill.borrow_and_update(); continue;
            };
            tokio::select! {
                a = open.accept() => { let Ok((s, _)) = a else { continue }; let t = self.clone(); let mut k = self.kill.subscribe(); k.borrow_and_update();
                    tokio::spawn(async move { tokio::select! { _ = t.conn(s) => {}, _ = k.changed() => {} } }); }
                _ = kill.changed() => { l = None; }
            }
        }
    }
    async fn conn(self: &Arc<Self>, s: TcpStream) -> std::io::Result<()> {
        s.set_nodelay(true)?;
        let sock = socket2::SockRef::from(&s).try_clone()?;
        let (r, mut w) = s.into_split();
        let mut r = Reader::new(r);
        let mut earlier: Vec<Vec<u8>> = Vec::new();
        loop {
            let req = if !earlier.is_empty() && hit(&self.chaos.extra) && rand::random_bool(0.3) {
                tokio::select! { q = r.request() => q?, () = tokio::time::sleep(Duration::from_millis(rand::random_range(1..150))) => {
                    let k = rand::random_range(0..earlier.len()); w.write_all(&earlier[k].clone()).await?; r.request().await? } }
            } else { r.request().await? };
            let Some(req) = req else { return Ok(()) };
            if !earlier.is_empty() && hit(&self.chaos.extra) { let k = rand::random_range(0..earlier.len()); w.write_all(&earlier[k].clone()).await?; }
            let (raw, close) = tokio::select! { x = self.handle(&req) => x, () = r.closed() => return Ok(()) };
            if raw.is_empty() { sock.set_linger(Some(Duration::ZERO))?; return Ok(()); }
            if hit(&self.chaos.interim) { w.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?; }
            let cut = hit(&self.chaos.breakoff);
            if cut && !close { let n = rand::random_range(0..raw.len()); w.write_all(&raw[..n]).await?; if rand::random_bool(0.5) { sock.set_linger(Some(Duration::ZERO))?; } return Ok(()); }
            w.write_all(&raw).await?;
            if close { return Ok(()); }
            if hit(&self.chaos.garbage) { w.write_all(b"\x00\x01garbage\r\n\r\n").await?; }
            earlier.push(raw);
        }
    }
    async fn handle(self: &Arc<Self>, req: &Message) -> (Vec<u8>, bool) {
        let (inst, service, _) = self.inst.lock().unwrap().clone();
        let id = req.header("request-id").unwrap_or("").to_owned();
        let leaving = self.chaos.leaving.load(Relaxed) > 0;
        let mk = |status: u16, extra: &[(&str, String)], b: &[u8], framed: bool| {
            let mut o = format!("HTTP/1.1 {status} X\r\nInstance-Id: {inst}\r\nBackend-Load: {},0,6\r\n", self.running.load(Relaxed));
            if framed { o += &format!("Content-Length: {}\r\n", b.len()); }
            if !id.is_empty() { o += &format!("Request-Id: {id}\r\n"); }
            if leaving { o += "Server-Leaving: 1\r\n"; }
            for (n, v) in extra { o += &format!("{n}: {v}\r\n"); }
            o += "\r\n"; let mut o = o.into_bytes(); o.extend_from_slice(b); o };
        if req.path == "/health" { return (mk(200, &[], b"", true), false); }
        if req.header("target-instance").is_some_and(|t| t != inst) { return (mk(421, &[], b"", true), false); }
        self.log.arrived.lock().unwrap().push((id.clone(), inst.clone(), Instant::now()));
        if hit(&self.chaos.refuse) { if rand::random_bool(0.5) { tokio::time::sleep(Duration::from_millis(rand::random_range(0..30))).await; } return (mk(503, &[("Not-Executed", "1".into())], b"", true), false); }
        if hit(&self.chaos.pause) { let s = rand::random_range(1.0..3.0); self.log.pauses.lock().unwrap().push((id.clone(), inst.clone(), Instant::now(), s)); return (mk(503, &[("Not-Executed", "1".into()), ("Retry-After", format!("{s:.2}"))], b"", true), false); }
        self.running.fetch_add(1, Relaxed);
        let dec = Dec(&self.running);
        let n: usize = id.split('n').nth(1).and_then(|v| v.parse().ok()).unwrap_or(0);
        let body_ok = req.body == body(&id, n);
        self.log.ran.lock().unwrap().entry(id.clone()).or_default().push(Ran { target: inst.clone(), service: service.clone(), at: Instant::now(), path: req.path.clone(), body_ok, method: req.method.clone() });
        let ms = rand::random_range(10..60) * if hit(&self.chaos.slow) { 8 } else { 1 };
        tokio::time::sleep(Duration::from_millis(ms)).await;
        drop(dec);
        if hit(&self.chaos.hang) { std::future::pending::<()>().await; }
        if hit(&self.chaos.reset) { return (Vec::new(), true); }
        let fail = hit(&self.chaos.fail);
        let status = if fail { [500, 502, 503, 504, 429, 404][rand::random_range(0..6)] } else { 200 };
        self.log.statuses.lock().unwrap().entry(id.clone()).or_default().push(status);
        let len = [0, 10, 1500, 30_000][rand::random_range(0..4)];
        let b = body(&format!("{inst}/{id}/{status}"), len);
        let sig = format!("{inst}.{id}.{status}.{len}");
        let un = hit(&self.chaos.unframed);
        (mk(status, &[("Response-Signature", sig)], &b, !un), un)
    }
}
struct Dec<'a>(&'a AtomicU64);
impl Drop for Dec<'_> { fn drop(&mut self) { self.0.fetch_sub(1, Relaxed); } }

fn main() -> anyhow::Result<()> { tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?.block_on(real()) }
async fn real() -> anyhow::Result<()> {
    let seed: u64 = std::env::args().nth(1).unwrap().parse()?;
    let secs: u64 = std::env::args().nth(2).unwrap().parse()?;
    let mut rng = StdRng::seed_from_u64(seed);
    let record = Arc::new(Record::create(std::path::Path::new(&format!("/tmp/fuzz-{seed}.txt")))?);
    let log = Arc::new(Log::default());
    let mut fleet = Fleet::new(record.clone()).await?;
    let net = match fleet.store_addr { SocketAddr::V4(a) => a.ip().octets()[1], _ => 1 };
    let mut ts: Vec<Arc<T>> = Vec::new();
    for i in 0..8 {
        let l = TcpListener::bind((Ipv4Addr::new(127, net, 100, 1 + i), 0)).await?;
        let service = if i % 2 == 0 { "alpha" } else { "beta" };
        let t = Arc::new(T { addr: l.local_addr()?, inst: Mutex::new((format!("i-{i}-0"), service.into(), unix_ms())), chaos: Chaos::default(), log: log.clone(), store: fleet.store.clone(), kill: watch::channel(0).0, running: AtomicU64::new(0), zone: ZONES[i as usize % 3].into(), record: record.clone() });
        t.reg(); tokio::spawn(t.clone().serve(Some(l))); ts.push(t);
    }
    let conf = |fleet: &Fleet, v: u64, swap: bool| fleet.configure(v, json!([
        {"name": "r-sa", "host": "x.example", "path-prefix": "/sa/", "route-type": "safe", "timeout-s": 2, "target-latency-s": 0.3, "priority": 2, "service": "alpha", "max-attempts": 2},
        {"name": "r-ua", "host": "x.example", "path-prefix": "/ua/", "route-type": "unsafe", "timeout-s": 2, "target-latency-s": 0.3, "priority": 1, "service": if swap { "alpha" } else { "alpha" }, "max-attempts": 3},
        {"name": "r-sb", "host": "x.example", "path-prefix": "/sb/", "route-type": "safe", "timeout-s": 1.5, "target-latency-s": 0.3, "priority": 2, "service": "beta", "max-attempts": 3},
        {"name": "r-ub", "host": "x.example", "path-prefix": "/ub/", "route-type": "unsafe", "timeout-s": 2, "target-latency-s": 0.3, "priority": 1, "service": "beta", "max-attempts": 2}]), &["alpha", "beta"]);
    conf(&fleet, 1, false);
    for _ in 0..4 { fleet.start_host(fleet.store_addr)?; }
    fleet.until_ready().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.listen).collect();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut callers = Vec::new();
    for c in 0..40_u64 {
        let (log, hosts, stop, record) = (log.clone(), hosts.clone(), stop.clone(), record.clone());
        callers.push(tokio::spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed * 1000 + c);
            let mut n = 0_u64;
            while !stop.load(Relaxed) {
                let h = rng.random_range(0..hosts.len());
                let Ok(Ok(s)) = tokio::time::timeout(Duration::from_millis(500), TcpStream::connect(hosts[h])).await else { tokio::time::sleep(Duration::from_millis(100)).await; continue };
                let _ = s.set_nodelay(true);
                let (rd, mut w) = s.into_split();
                let mut rd = Reader::new(rd);
                let mut pending: std::collections::VecDeque<String> = Default::default();
                let pipelines = rng.random_bool(0.3);
                let rounds = rng.random_range(1..6);
                'conn: for _ in 0..rounds {
                    let k = if pipelines { rng.random_range(1..9) } else { 1 };
                    for j in 0..k {
                        n += 1;
                        let un = (!pipelines || j == 0 && rng.random_bool(0.3)) && rng.random_bool(0.5);
                        let (svc, p) = if rng.random_bool(0.5) { ("alpha", if un { "/ua/" } else { "/sa/" }) } else { ("beta", if un { "/ub/" } else { "/sb/" }) };
                        let blen = if un { [0usize, 5, 2000, 70_000][rng.random_range(0..4)] } else { 0 };
                        let id = format!("c{c}x{n}n{blen}");
                        let path = format!("{p}{n}?q={c}");
                        let b = body(&id, blen);
                        let mut req = format!("{} {path} HTTP/1.1\r\nHost: x.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 2000\r\n", if un { "POST" } else { "GET" });
                        let chunked = un && rng.random_bool(0.4);
                        let mut bytes;
                        if chunked { req += "Transfer-Encoding: chunked\r\n\r\n"; bytes = req.into_bytes(); for ch in b.chunks(7000) { bytes.extend(format!("{:x}\r\n", ch.len()).bytes()); bytes.extend(ch); bytes.extend(b"\r\n"); } bytes.extend(b"0\r\n\r\n"); }
                        else { if un { req += &format!("Content-Length: {blen}\r\n"); } req += "\r\n"; bytes = req.into_bytes(); bytes.extend(&b); }
                        log.sent.lock().unwrap().insert(id.clone(), Sent { host: h, service: svc, is_unsafe: un, path, body_len: blen, at: Instant::now() });
                        if w.write_all(&bytes).await.is_err() { break 'conn; }
                        pending.push_back(id);
                    }
                    if rng.random_bool(0.08) { tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await; break 'conn; }
                    while let Some(id) = pending.pop_front() {
                        let r = tokio::time::timeout(Duration::from_millis(4500), rd.response(false)).await;
                        let mut g = Got::default();
                        let mut closes = true;
                        match r {
                            Err(_) => g.state = "TIMEOUT".into(),
                            Ok(Err(e)) => g.state = format!("err {e}"),
                            Ok(Ok(None)) => g.state = "closed".into(),
                            Ok(Ok(Some(m))) => { g = Got { status: m.status, sig: m.header("response-signature").map(Into::into), id: m.header("request-id").map(Into::into), leaving: m.header("server-leaving").and(m.header("instance-id")).map(Into::into), state: "answered".into(), body: m.body.clone() };
                                closes = m.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")); }
                        }
                        if g.state == "TIMEOUT" { record.say(format!("TIMEOUT {id} host {h}")); }
                        log.got.lock().unwrap().push((id, g, Instant::now()));
                        if closes { break 'conn; }
                    }
                    tokio::time::sleep(Duration::from_millis(rng.random_range(0..120))).await;
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
            }
        }));
    }
    let end = Instant::now() + Duration::from_secs(secs);
    let mut version = 1; let mut gen_ = 0; let mut backup = fleet.store.backup();
    let mut frozen: Vec<(usize, Instant)> = Vec::new();
    let mut refused_until: Option<Instant> = None;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..500))).await;
        frozen.retain(|(i, at)| if Instant::now() >= *at { fleet.hosts[*i].signal(Signal::SIGCONT); log.events.lock().unwrap().push((*i, String::new(), Instant::now())); false } else { true });
        if refused_until.is_some_and(|at| Instant::now() >= at) { fleet.store.set_refusal(None); refused_until = None; }
        for i in 0..fleet.hosts.len() {
            if let Ok(Some(st)) = fleet.hosts[i].child.try_wait() { log.events.lock().unwrap().push((i, String::new(), Instant::now())); record.line(format!("host {i} ended {st}")); if st.code() != Some(0) && { use std::os::unix::process::ExitStatusExt; st.signal() != Some(9) } { record.say(format!("ENDED host {i}: {st}")); } fleet.restart_host(i).await?; }
        }
        let t = &ts[rng.random_range(0..ts.len())];
        match rng.random_range(0..24) {
            0..=9 => { let all = t.chaos.all(); let k = rng.random_range(0..all.len()); let v = if rng.random_bool(0.5) { 0 } else { [20, 100, 300][rng.random_range(0..3)] }; all[k].store(v, Relaxed); }
            10 | 11 => { for a in t.chaos.all() { a.store(0, Relaxed); } }
            12 => { gen_ += 1; log.events.lock().unwrap().push((99, t.inst.lock().unwrap().0.clone(), Instant::now())); t.kill.send_modify(|n| *n += 1); let mut i = t.inst.lock().unwrap(); let old = i.0.clone(); let same = rng.random_bool(0.4); if !same { i.0 = format!("i-g{gen_}"); if rng.random_bool(0.3) { i.1 = if i.1 == "alpha" { "beta".into() } else { "alpha".into() }; } } i.2 = unix_ms(); drop(i); t.chaos.leaving.store(0, Relaxed); t.reg(); if !same { let s = fleet.store.clone(); let ms = rng.random_range(0..4000); tokio::spawn(async move { tokio::time::sleep(Duration::from_millis(ms)).await; s.delete("servers", &old); }); } record.line(format!("target {} -> {:?}", t.addr, t.inst.lock().unwrap())); }
            13 => { let l = t.chaos.leaving.load(Relaxed); if l == 0 { t.chaos.leaving.store(1, Relaxed); } else { gen_ += 1; log.events.lock().unwrap().push((99, t.inst.lock().unwrap().0.clone(), Instant::now())); t.kill.send_modify(|n| *n += 1); let mut i = t.inst.lock().unwrap(); let old = i.0.clone(); i.0 = format!("i-g{gen_}"); i.2 = unix_ms(); drop(i); fleet.store.delete("servers", &old); t.chaos.leaving.store(0, Relaxed); t.reg(); } }
            14 => { version += 1; conf(&fleet, version, rng.random_bool(0.5)); }
            15 => { let i = rng.random_range(0..fleet.hosts.len()); fleet.hosts[i].signal(Signal::SIGKILL); record.line(format!("kill host {i}")); }
            16 => { let i = rng.random_range(0..fleet.hosts.len()); fleet.hosts[i].signal(Signal::SIGTERM); record.line(format!("term host {i}")); }
            17 | 18 => { let i = rng.random_range(0..fleet.hosts.len()); fleet.hosts[i].signal(Signal::SIGSTOP); frozen.push((i, Instant::now() + Duration::from_millis(rng.random_range(50..3000)))); record.line(format!("freeze host {i}")); }
            19 => { let i = rng.random_range(0..fleet.hosts.len()); fleet.hosts[i].signal(Signal::SIGHUP); }
            20 => { fleet.store.set_refusal(Some([503, 429][rng.random_range(0..2)])); refused_until = Some(Instant::now() + Duration::from_millis(rng.random_range(100..4000))); record.line("store refuses"); }
            21 => { fleet.store.compact(); }
            22 => { if rng.random_bool(0.5) { backup = fleet.store.backup(); } else { fleet.store.restore(&backup); record.line("store restored"); let (fs, tss) = (version, ts.clone()); let _ = fs; tokio::spawn(async move { tokio::time::sleep(Duration::from_millis(1500)).await; for t in tss { t.reg(); } }); version += 1; conf(&fleet, version, false); } }
            _ => { fleet.store.put("servers", &format!("junk-{}", rng.random_range(0..4)), json!({"service": 7, "address": "x"})); }
        }
    }
    for (i, _) in frozen { fleet.hosts[i].signal(Signal::SIGCONT); }
    for t in &ts { for a in t.chaos.all() { a.store(0, Relaxed); } }
    stop.store(true, Relaxed);
    for c in callers { let _ = tokio::time::timeout(Duration::from_secs(8), c).await; }
    // Oracles.
    let (sent, ran, got, st) = (log.sent.lock().unwrap(), log.ran.lock().unwrap(), log.got.lock().unwrap(), log.statuses.lock().unwrap());
    let mut bad = 0; let mut say = |s: String| { bad += 1; if bad < 30 { record.say(s) } };
    let mut over = 0;
    for (id, runs) in ran.iter() {
        let Some(s) = sent.get(id) else { say(format!("UNASKED {id}")); continue };
        if s.is_unsafe && runs.len() > 1 { say(format!("TWICE {id} {runs:?}")); }
        let max = match &s.path[..4] { "/sb/" => 3, _ => 2 };
        let on: std::collections::HashSet<_> = runs.iter().map(|r| &r.target).collect();
        if on.len() > max { over += 1; }
        for r in runs { if r.service != s.service { say(format!("ROUTE {id} {r:?}")); } if r.path != s.path || !r.body_ok || (r.method == "POST") != s.is_unsafe { say(format!("CHANGED {id} {r:?} {s:?}")); } }
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    for (id, g, _) in got.iter() {
        *counts.entry(if g.state == "answered" { g.status.to_string() } else { g.state.clone() }).or_default() += 1;
        if g.state != "answered" { continue; }
        let s = &sent[id];
        let runs = ran.get(id).map_or(0, Vec::len);
        if s.is_unsafe && [408, 421, 429, 503].contains(&g.status) && runs > 0 { say(format!("REFUSED {id} {} {runs}", g.status)); }
        if g.status < 300 && g.sig.is_none() { say(format!("MIXED nosig {id}")); }
        if let Some(sig) = &g.sig {
            let parts: Vec<&str> = sig.split('.').collect();
            let (inst, sid, status, len) = (parts[0], parts[1], parts[2], parts[3]);
            let want = body(&format!("{inst}/{sid}/{status}"), len.parse().unwrap());
            if sid != id || status != g.status.to_string() || g.body != want || g.id.as_deref() != Some(id) { say(format!("MIXED {id} {sig} {} {}", g.status, g.body.len())); }
        } else if g.status >= 300 { let _ = &st; }
        if [400, 401, 403, 404, 413, 431].contains(&g.status) && g.sig.is_none() { say(format!("DENIED {id} {}", g.status)); }
    }
    let events = log.events.lock().unwrap();
    let mut leavings: Vec<(usize, String, Instant)> = got.iter().filter_map(|(id, g, at)| Some((sent[id].host, g.leaving.clone()?, *at))).collect();
    leavings.sort_by_key(|l| l.2);
    let mut late = 0;
    for (id, inst, at) in log.arrived.lock().unwrap().iter() {
        let Some(s) = sent.get(id) else { continue };
        let ok = |l: &(usize, String, Instant)| l.0 == s.host && l.1 == *inst && l.2 + Duration::from_millis(2000) < s.at
            && !events.iter().any(|(h, i, t)| (*h == s.host || i == inst) && *t >= l.2 - Duration::from_millis(3000) && *t <= *at + Duration::from_millis(50));
        if let Some(l) = leavings.iter().find(|l| ok(l)) { late += 1; if late < 4 { record.say(format!("LEAVING {id} host {} {inst} {:?} after", s.host, s.at - l.2)); } }
    }
    let mut paused = 0;
    let arrived = log.arrived.lock().unwrap();
    for (id, inst, at, s) in log.pauses.lock().unwrap().iter() {
        let h = sent[id].host;
        if events.iter().any(|(eh, i, t)| (*eh == h || i == inst) && *t >= *at - Duration::from_secs(3) && *t <= *at + Duration::from_secs_f64(*s + 0.1)) { continue; }
        let n = arrived.iter().filter(|(i2, inst2, t)| inst2 == inst && sent.get(i2).is_some_and(|x| x.host == h) && *t > *at + Duration::from_millis(500) && *t < *at + Duration::from_secs_f64(*s)).count();
        if n > 2 { paused += 1; if paused < 4 { record.say(format!("PAUSE {id} host {h} {inst} pause {s:.2}: {n} arrivals")); } }
    }
    drop(arrived);
    bad += 0 * paused;
    record.say(format!("seed {seed}: sent {} ran {} bad {bad} over-attempts {over} late-leaving {late} paused {paused} {counts:?}", sent.len(), ran.len()));
    drop((sent, ran, got, st));
    fleet.stop().await;
    Ok(())
}
