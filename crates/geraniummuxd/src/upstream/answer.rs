//! Sends a request to a target and reads its answer.

use super::connection::Connection;
use super::{MAX_BUFFERED, REQUEST_ID};
use bytes::{Bytes, BytesMut};
use geraniummux_core::Time;
use http::{HeaderMap, Method, Request, StatusCode, Version, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};

/// Why no usable answer came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No byte of the request was handed to the connection.
    NotSent,
    /// The connection was reset or closed before the answer's head was complete.
    Broken,
    /// The answer is malformed, ambiguous or belongs to another request.
    BadAnswer,
}

/// The head of an answer, with the connection that it arrived on.
#[derive(Debug)]
pub struct Head {
    /// Status and headers.
    pub parts: response::Parts,
    /// The body, not read yet.
    pub body: Incoming,
    /// The connection.
    pub conn: Connection,
    /// Whether the target echoed the request's identity, so that the connection can be reused.
    pub echoed: bool,
}

/// An answer as far as it was read.
#[derive(Debug)]
pub enum Answer {
    /// The whole answer.
    Whole {
        /// Status and headers.
        parts: response::Parts,
        /// The whole body.
        body: Bytes,
        /// The connection, if it can be reused.
        conn: Option<Connection>,
    },
    /// An answer longer than [`MAX_BUFFERED`].
    Long {
        /// What was read so far.
        prefix: Bytes,
        /// The rest.
        head: Box<Head>,
    },
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// See [`SendError`]. The connection is closed then.
pub async fn send(
    mut conn: Connection,
    req: Request<Full<Bytes>>,
    not_after: Time,
) -> Result<Head, SendError> {
    let id = req.headers().get(REQUEST_ID).cloned();
    let is_head = req.method() == Method::HEAD;
    conn.begin(not_after);
    let rsp = match conn.tx.try_send_request(req).await {
        Ok(rsp) => rsp,
        Err(_) if conn.is_untouched() => return Err(SendError::NotSent),
        Err(e) if e.error().is_parse() => return Err(SendError::BadAnswer),
        Err(_) => return Err(SendError::Broken),
    };
    let (parts, body) = rsp.into_parts();
    let mut echoes = parts.headers.get_all(REQUEST_ID).iter();
    let echoed = match (echoes.next(), echoes.next()) {
        (None, _) => false,
        (Some(echo), None) if Some(echo) == id.as_ref() => true,
        _ => return Err(SendError::BadAnswer),
    };
    // Without an echo, nothing tells that the answer isn't a late one to the previous request.
    if conn.is_reused() && !echoed {
        return Err(SendError::BadAnswer);
    }
    let two_lengths =
        parts.headers.contains_key(header::TRANSFER_ENCODING) && conn.has_raw_length();
    if two_lengths || !has_certain_length(&parts, is_head) {
        return Err(SendError::BadAnswer);
    }
    Ok(Head { parts, body, conn, echoed })
}

/// Returns whether the end of the answer can be told from a broken connection, and only one length
/// is given.
fn has_certain_length(parts: &response::Parts, is_head: bool) -> bool {
    let status = parts.status;
    if status.is_informational() || parts.version < Version::HTTP_10 {
        return false;
    }
    let lengths = one_value(&parts.headers, header::CONTENT_LENGTH);
    let codings = one_value(&parts.headers, header::TRANSFER_ENCODING);
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
        // A body that ends with the connection can't be told from a truncated one.
        (None, None) => !has_body,
        _ => true,
    }
}

fn one_value(headers: &HeaderMap, name: header::HeaderName) -> Result<Option<&str>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(|v| Some(v.trim())).map_err(|_| ()),
        _ => Err(()),
    }
}

/// Reads the answer's body, up to [`MAX_BUFFERED`] bytes of it.
///
/// # Errors
///
/// [`SendError::BadAnswer`] if the answer is truncated or malformed.
pub async fn collect(mut head: Head) -> Result<Answer, SendError> {
    let declared = head.body.size_hint().exact();
    if declared.is_some_and(|len| len > MAX_BUFFERED as u64) {
        return Ok(Answer::Long { prefix: Bytes::new(), head: Box::new(head) });
    }
    let mut read: Vec<Bytes> = Vec::new();
    let mut len = 0;
    while let Some(frame) = head.body.frame().await {
        let frame = frame.map_err(|_| SendError::BadAnswer)?;
        if let Ok(data) = frame.into_data() {
            len += data.len();
            read.push(data);
        }
        if len > MAX_BUFFERED {
            return Ok(Answer::Long { prefix: join(read, len), head: Box::new(head) });
        }
    }
    let conn = head.echoed.then_some(head.conn);
    Ok(Answer::Whole { parts: head.parts, body: join(read, len), conn })
}

fn join(mut parts: Vec<Bytes>, len: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.swap_remove(0);
    }
    let mut all = BytesMut::with_capacity(len);
    parts.iter().for_each(|part| all.extend_from_slice(part));
    all.freeze()
}
