//! Objects with odd names, over the client of the object API.

use bytes::Bytes;
use geraniummux_platform::http::HttpPlatform;
use geraniummux_platform::{Condition, Key, Platform, Version};
use geraniummux_standin::platform;
use std::time::Duration;
use tokio::net::TcpListener;

const NAMES: [&str; 18] = [
    "a b",
    "a&b",
    "a+b",
    "a#b",
    "a%b",
    "a%41",
    "a?wait_ms=1",
    "a/b",
    "../b",
    ".",
    "..",
    "a=b;c",
    "\n",
    "größe",
    "日本",
    "\u{1}",
    "\"a\"\\",
    "a&prefix=z",
];
const WAIT: Duration = Duration::from_millis(50);

/// Guards against a name that makes a call invalid, or reaches another object.
#[tokio::test]
async fn object_calls_odd_name_reach_the_object() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpPlatform::new(listener.local_addr().unwrap());
    tokio::spawn(platform::run(listener));
    let mut failed = Vec::new();
    for name in NAMES {
        let key = Key::new("claim", name);
        let value = Bytes::from(name.to_owned());
        let Ok(version) = client.put(&key, value.clone(), Condition::Absent).await else {
            failed.push((name, "put"));
            continue;
        };
        let read = client.get(&key).await;
        if !matches!(&read, Ok(Some(o)) if o.value == value && o.version == version) {
            failed.push((name, "get"));
        }
        let newer = client.watch(&key, Version(version.0 - 1), WAIT).await;
        if !matches!(&newer, Ok(Some(o)) if o.version == version) {
            failed.push((name, "watch"));
        }
        let listed = client.list("claim", name).await;
        if !matches!(&listed, Ok(list) if list.len() == 1 && list[0].0 == key) {
            failed.push((name, "list"));
        }
        if client.delete(&key, version).await.is_err() || client.get(&key).await != Ok(None) {
            failed.push((name, "delete"));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
