//! The stand-in programs start and follow the protocol that the tests of the daemon rely on.

use bytes::Bytes;
use geraniummux_standin::caller;
use http::Method;
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::time::Duration;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(args: &[&str]) -> (Process, SocketAddr) {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = probe.local_addr().expect("address");
    drop(probe);
    let child = Command::new(env!("CARGO_BIN_EXE_geraniummux-standin"))
        .args(args)
        .arg("--listen")
        .arg(addr.to_string())
        .spawn()
        .expect("start the stand-in");
    (Process(child), addr)
}

async fn call(addr: SocketAddr, method: Method, path: &str, headers: &[(&str, &str)]) -> u16 {
    for _ in 0..500 {
        let body = Bytes::from_static(b"value");
        match caller::send(addr, method.clone(), path, headers, body).await {
            Ok(answer) => return answer.status.as_u16(),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    panic!("{addr} did not answer");
}

/// Guards against conditions that don't hold back a write, and against versions that repeat after
/// a restore.
#[tokio::test]
async fn platform_conditions() {
    let (_process, addr) = start(&["platform"]);
    let path = "/v1/objects/config/tables";
    assert_eq!(call(addr, Method::PUT, path, &[("if-none-match", "*")]).await, 201);
    assert_eq!(call(addr, Method::PUT, path, &[("if-none-match", "*")]).await, 412);
    assert_eq!(call(addr, Method::POST, "/backup", &[]).await, 204);
    assert_eq!(call(addr, Method::PUT, path, &[("if-match", "\"1\"")]).await, 200);
    assert_eq!(call(addr, Method::POST, "/restore", &[]).await, 204);
    for version in ["\"1\"", "\"2\""] {
        assert_eq!(call(addr, Method::PUT, path, &[("if-match", version)]).await, 412);
    }
    assert_eq!(call(addr, Method::PUT, path, &[("if-match", "\"3\"")]).await, 200);
    assert_eq!(call(addr, Method::GET, "/v1/objects/config/other", &[]).await, 404);
}

/// Guards against a target that can't be started from the command line.
#[tokio::test]
async fn target_answers() {
    let (_process, addr) = start(&["target", "--name", "t-1"]);
    assert_eq!(call(addr, Method::GET, "/x", &[]).await, 200);
}
