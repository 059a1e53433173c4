//! Checks that the stand-in program starts and follows the protocol that the daemon's tests rely on.

use bytes::Bytes;
use geraniummux_standin::caller;
use http::Method;
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::time::Duration;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the stand-in program on a free port.
fn start(args: &[&str]) -> (Process, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    drop(listener);
    let child = Command::new(env!("CARGO_BIN_EXE_geraniummux-standin"))
        .args(args)
        .arg("--listen")
        .arg(addr.to_string())
        .spawn()
        .expect("start the stand-in");
    (Process(child), addr)
}

/// Sends a request, with retries until the program accepts connections, and returns the status.
async fn call(addr: SocketAddr, method: Method, path: &str, headers: &[(&str, &str)]) -> u16 {
    for _ in 0..500 {
        let body = Bytes::from_static(b"value");
        match caller::send(addr, method.clone(), path, headers, body).await {
            Ok(rsp) => return rsp.status.as_u16(),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    panic!("{addr} did not respond");
}

/// Guards against writes that succeed although their condition fails, and against versions that repeat
/// after a restore.
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

/// Guards against a target that can't be started from the command line or doesn't respond.
#[tokio::test]
async fn target_answers() {
    let (_process, addr) = start(&["target", "--name", "t-1"]);
    assert_eq!(call(addr, Method::GET, "/x", &[]).await, 200);
}
