//! HTTP/1.1 message by message, for a target that also writes responses that are not due, and for callers that send
//! several requests before they read the first response.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;

/// Reads a request whose body has a length or comes in chunks. Returns `None` at the end of the connection.
pub async fn read_request(
    reader: &mut BufReader<OwnedReadHalf>,
) -> io::Result<Option<Request<Bytes>>> {
    let first = read_line(reader).await?;
    if first.is_empty() {
        return Ok(None);
    }
    let mut words = first.split(' ');
    let mut req = Request::builder()
        .method(words.next().unwrap_or_default())
        .uri(words.next().unwrap_or_default())
        .body(Bytes::new())
        .map_err(io::Error::other)?;
    *req.headers_mut() = read_headers(reader).await?;
    *req.body_mut() = read_body(reader, req.headers()).await?;
    Ok(Some(req))
}

/// Reads a response whose body has a length or comes in chunks. Returns `None` at the end of the connection.
pub async fn read_response(
    reader: &mut BufReader<OwnedReadHalf>,
) -> io::Result<Option<Response<Bytes>>> {
    let first = read_line(reader).await?;
    if first.is_empty() {
        return Ok(None);
    }
    let status = first.split(' ').nth(1).unwrap_or_default();
    let mut rsp = Response::new(Bytes::new());
    *rsp.status_mut() = StatusCode::from_bytes(status.as_bytes()).map_err(io::Error::other)?;
    *rsp.headers_mut() = read_headers(reader).await?;
    *rsp.body_mut() = read_body(reader, rsp.headers()).await?;
    Ok(Some(rsp))
}

async fn read_headers(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    loop {
        let line = read_line(reader).await?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(io::Error::other)?;
        let value = HeaderValue::from_str(value.trim()).map_err(io::Error::other)?;
        headers.append(name, value);
    }
}

async fn read_body(
    reader: &mut BufReader<OwnedReadHalf>,
    headers: &HeaderMap,
) -> io::Result<Bytes> {
    let mut body = Vec::new();
    if headers.contains_key(TRANSFER_ENCODING) {
        loop {
            let len = read_line(reader).await?;
            let len = usize::from_str_radix(&len, 16).map_err(io::Error::other)?;
            read_exact(reader, len, &mut body).await?;
            read_line(reader).await?;
            if len == 0 {
                break;
            }
        }
    } else if let Some(len) = headers.get(CONTENT_LENGTH) {
        let len =
            len.to_str().ok().and_then(|l| l.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        read_exact(reader, len, &mut body).await?;
    }
    Ok(body.into())
}

/// Reads a line without its end; empty also at the end of the connection.
async fn read_line(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    line.truncate(line.trim_end().len());
    Ok(line)
}

async fn read_exact(
    reader: &mut BufReader<OwnedReadHalf>,
    len: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    let start = body.len();
    body.resize(start + len, 0);
    reader.read_exact(&mut body[start..]).await.map(|_| ())
}

/// Waits until the peer has closed the connection. Never returns if it has sent another request instead.
pub async fn closed(reader: &mut BufReader<OwnedReadHalf>) {
    if let Ok([_, ..]) = reader.fill_buf().await {
        std::future::pending().await
    }
}

/// Returns a response as bytes.
pub fn encode(rsp: &Response<Bytes>) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {}\r\n", rsp.status()).into_bytes();
    for (name, value) in rsp.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", rsp.body().len()).as_bytes());
    bytes.extend_from_slice(rsp.body());
    bytes
}
