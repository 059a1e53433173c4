//! HTTP server functions that the stand-ins share.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use tokio::net::{TcpListener, TcpStream};

/// How a stand-in replies to a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends this response.
    Send(Response<Full<Bytes>>),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without ever sending a response.
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

/// Reads a whole request body. Returns an empty body if reading fails.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect().await.map(|b| b.to_bytes()).unwrap_or_default()
}

/// Passes the JSON body of a request to `apply` and replies with status 204, or with status 400 if the
/// body can't be parsed.
pub async fn apply_json<T, F>(req: Request<Incoming>, apply: F) -> Reply
where
    T: serde::de::DeserializeOwned,
    F: FnOnce(T),
{
    match serde_json::from_slice(&read_body(req.into_body()).await) {
        Ok(value) => {
            apply(value);
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
            // The process may be out of file descriptors; a later attempt may succeed.
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
    // Without this option, responses are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let reply = handler(req);
        async move {
            match reply.await {
                Reply::Send(rsp) => Ok::<_, std::io::Error>(rsp),
                Reply::Close => Err(std::io::Error::other("connection closed by the handler")),
                Reply::Hang => {
                    let never: Infallible = std::future::pending().await;
                    match never {}
                }
            }
        }
    });
    // A connection error affects only this connection.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
