//! Shared pieces of the stand-in servers.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use tokio::net::{TcpListener, TcpStream};

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends this response.
    Send(Response<Full<Bytes>>),
    /// Closes the connection without a response.
    Close,
    /// Never responds and keeps the connection open.
    Hang,
}

impl Reply {
    /// Returns a reply with a status and a text body.
    pub fn text<B>(status: StatusCode, body: B) -> Reply
    where
        B: Into<Bytes>,
    {
        let mut rsp = Response::new(Full::new(body.into()));
        *rsp.status_mut() = status;
        Reply::Send(rsp)
    }

    /// Returns a reply with status 200 and a JSON body.
    pub fn json<T>(value: &T) -> Reply
    where
        T: serde::Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::text(StatusCode::OK, body),
            Err(e) => Reply::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }
}

/// Reads a whole request body; an unreadable one counts as empty.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect().await.map(|b| b.to_bytes()).unwrap_or_default()
}

/// Passes the JSON body of a request to `store`; a body that can't be parsed is refused.
pub async fn store_json<T, F>(req: Request<Incoming>, store: F) -> Reply
where
    T: serde::de::DeserializeOwned,
    F: FnOnce(T),
{
    match serde_json::from_slice(&read_body(req.into_body()).await) {
        Ok(value) => {
            store(value);
            Reply::text(StatusCode::NO_CONTENT, "")
        }
        Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

/// Accepts HTTP/1.1 connections and passes each request to `handler` until the task is dropped.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors; the next attempt may find one.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Losing the option only adds delay.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let reply = handler(req);
        async move {
            match reply.await {
                Reply::Send(rsp) => Ok::<_, std::io::Error>(rsp),
                Reply::Close => Err(std::io::Error::other("closed on demand")),
                Reply::Hang => {
                    let never: Infallible = std::future::pending().await;
                    match never {}
                }
            }
        }
    });
    // A connection error concerns that peer only.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
