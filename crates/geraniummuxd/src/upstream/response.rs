//! Sends a request to a target, and reads and validates the response.
//!
//! A response is rejected if its status is not a final one, if its length is ambiguous or if it may
//! belong to another request.

use super::connection::Connection;
use super::{MAX_BUFFERED_BYTES, REQUEST_ID};
use bytes::{Bytes, BytesMut};
use geraniummux_core::{Time, is_final_status};
use http::{HeaderMap, Method, Request, StatusCode, Version, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};

/// The reason why an attempt got no valid response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No byte of the request was passed to the kernel.
    NotSent,
    /// The connection was reset or closed before the head of the response was complete.
    ConnectionLost,
    /// The response is malformed, has no final status, has an ambiguous length or belongs to another
    /// request.
    InvalidResponse,
}

/// The head of a response, with the connection on which it arrived.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status and headers.
    pub parts: response::Parts,
    /// The body, not read yet.
    pub body: Incoming,
    /// The connection. Dropping it aborts the transfer of the body.
    pub conn: Connection,
    /// Whether the target echoed the id of the attempt. Only then can the connection be reused.
    pub echoed: bool,
}

/// A response, buffered completely or up to [`MAX_BUFFERED_BYTES`].
#[derive(Debug)]
pub enum UpstreamResponse {
    /// The body is complete in the buffer.
    Buffered {
        /// Status and headers.
        parts: response::Parts,
        /// The complete body.
        body: Bytes,
        /// The connection, if it can be reused.
        conn: Option<Connection>,
    },
    /// The body is longer than [`MAX_BUFFERED_BYTES`] and has to be streamed.
    Streaming {
        /// The part of the body that was already read.
        prefix: Bytes,
        /// The head, with the rest of the body.
        head: Box<ResponseHead>,
    },
}

/// Sends a request and waits for the head of the response. The first byte is not sent later than
/// `not_after`.
///
/// # Errors
///
/// See [`SendError`]. The connection is closed in each case.
pub async fn send(
    mut conn: Connection,
    req: Request<Full<Bytes>>,
    not_after: Time,
) -> Result<ResponseHead, SendError> {
    let id = req.headers().get(REQUEST_ID).cloned();
    let is_head = req.method() == Method::HEAD;
    conn.begin_request(not_after);
    let rsp = match conn.tx.try_send_request(req).await {
        Ok(rsp) => rsp,
        Err(_) if conn.is_unsent() => return Err(SendError::NotSent),
        Err(e) if e.error().is_parse() => return Err(SendError::InvalidResponse),
        Err(_) => return Err(SendError::ConnectionLost),
    };
    let (parts, body) = rsp.into_parts();
    if !is_final_status(parts.status.as_u16()) {
        return Err(SendError::InvalidResponse);
    }
    let mut echoes = parts.headers.get_all(REQUEST_ID).iter();
    let echoed = match (echoes.next(), echoes.next()) {
        (None, _) => false,
        (Some(echo), None) if Some(echo) == id.as_ref() => true,
        _ => return Err(SendError::InvalidResponse),
    };
    // Without an echo, this could be a late response to the previous request on the connection.
    if conn.is_reused() && !echoed {
        return Err(SendError::InvalidResponse);
    }
    let conflicting_lengths =
        parts.headers.contains_key(header::TRANSFER_ENCODING) && conn.has_raw_content_length();
    if conflicting_lengths || !has_unambiguous_length(&parts, is_head) {
        return Err(SendError::InvalidResponse);
    }
    Ok(ResponseHead { parts, body, conn, echoed })
}

/// Returns whether the response's framing tells a complete body from a truncated one, and gives
/// exactly one length.
fn has_unambiguous_length(parts: &response::Parts, is_head: bool) -> bool {
    let status = parts.status;
    if parts.version < Version::HTTP_10 {
        return false;
    }
    let lengths = single_value(&parts.headers, header::CONTENT_LENGTH);
    let codings = single_value(&parts.headers, header::TRANSFER_ENCODING);
    let (Ok(length), Ok(coding)) = (lengths, codings) else {
        return false;
    };
    let length_valid =
        length.is_none_or(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()));
    let coding_valid = coding.is_none_or(|v| v.eq_ignore_ascii_case("chunked"));
    if !length_valid || !coding_valid {
        return false;
    }
    let has_body = !is_head && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match (length, coding) {
        (Some(_), Some(_)) => false,
        // A body that is delimited by the end of the connection looks the same when truncated.
        (None, None) => !has_body,
        _ => true,
    }
}

/// Returns the only value of a header, or `None` if it is absent. Fails if there are several values
/// or the value isn't ASCII text.
fn single_value(headers: &HeaderMap, name: header::HeaderName) -> Result<Option<&str>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(|v| Some(v.trim())).map_err(|_| ()),
        _ => Err(()),
    }
}

/// Reads the body of a response until it is complete or longer than [`MAX_BUFFERED_BYTES`].
///
/// # Errors
///
/// Returns [`SendError::InvalidResponse`] if the body is truncated or malformed.
pub async fn collect(mut head: ResponseHead) -> Result<UpstreamResponse, SendError> {
    let declared = head.body.size_hint().exact();
    if declared.is_some_and(|len| len > MAX_BUFFERED_BYTES as u64) {
        return Ok(UpstreamResponse::Streaming { prefix: Bytes::new(), head: Box::new(head) });
    }
    let mut read: Vec<Bytes> = Vec::new();
    let mut len = 0;
    while let Some(frame) = head.body.frame().await {
        let frame = frame.map_err(|_| SendError::InvalidResponse)?;
        if let Ok(data) = frame.into_data() {
            len += data.len();
            read.push(data);
        }
        if len > MAX_BUFFERED_BYTES {
            return Ok(UpstreamResponse::Streaming {
                prefix: join(read, len),
                head: Box::new(head),
            });
        }
    }
    let conn = head.echoed.then_some(head.conn);
    Ok(UpstreamResponse::Buffered { parts: head.parts, body: join(read, len), conn })
}

fn join(mut parts: Vec<Bytes>, len: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.swap_remove(0);
    }
    let mut all = BytesMut::with_capacity(len);
    parts.iter().for_each(|part| all.extend_from_slice(part));
    all.freeze()
}
