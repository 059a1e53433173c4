//! The claim object that is stored in the platform.

use crate::outcome::is_final_status;
use crate::quarantine::Fingerprint;
use crate::time::UnixMs;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// Kind under which claim objects are stored in the platform.
pub const CLAIM_KIND: &str = "claim";
/// Largest body of a stored response, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Largest total size of the header names and values of a stored response, in bytes.
pub const MAX_STORED_HEADERS_BYTES: usize = 8 << 10;
/// Largest accepted encoded claim, in bytes. Leaves room for the largest body in base64, the largest
/// headers with JSON escapes, and the other fields.
pub const MAX_CLAIM_BYTES: usize = 160 << 10;
/// Margin that is added to the route's timeout to get a claim's TTL. Covers clock skew between hosts.
pub const CLAIM_TTL_MARGIN: Duration = Duration::from_secs(30);
/// How long a claim is kept after it has expired.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Returns the name of the claim object of an idempotency key: the SHA-256 of tenant, route and key in
/// hex.
pub fn claim_name(tenant: &str, route: &str, key: &str) -> String {
    let mut hash = Sha256::new();
    // The length prefixes keep different splits of the same bytes apart.
    for part in [tenant, route, key] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().iter().map(|b| format!("{b:02x}")).collect()
}

/// A complete response as stored with a claim, for replay to later requests with the same key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// Names and values of the headers to replay, as selected by the daemon.
    pub headers: Vec<(String, String)>,
    /// The body, encoded as base64 in JSON.
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Returns whether the response has a final status, and is within [`MAX_STORED_BODY_BYTES`] and
    /// [`MAX_STORED_HEADERS_BYTES`].
    pub fn is_storable(&self) -> bool {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        is_final_status(self.status)
            && self.body.len() <= MAX_STORED_BODY_BYTES
            && headers <= MAX_STORED_HEADERS_BYTES
    }
}

mod base64_body {
    use super::BASE64;
    use base64::Engine as _;
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    pub fn serialize<S>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&BASE64.encode(body))
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        BASE64.decode(text.as_bytes()).map_err(D::Error::custom)
    }
}

/// The delivery of a stored response, which decides which host counts the request in the usage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Delivery {
    /// The host that ran the request delivers the response and counts it.
    Runner,
    /// As `Runner`, but a replay was delivered in the meantime. If the host that ran the request
    /// fails to deliver the response, it counts that replay instead.
    Shown,
    /// The host that ran the request failed to deliver the response. The host that delivers the first
    /// replay counts it.
    Undelivered,
    /// A replay was delivered and is counted.
    Replayed,
}

/// Progress of the claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Progress {
    /// The request may be running.
    Running,
    /// A target's handler may have run the request, and its response is not known.
    Unknown,
    /// The request was served.
    Done {
        /// The response, unless it could not be stored.
        #[serde(rename = "answer")]
        response: Option<StoredResponse>,
        /// Which delivery of the response counts in the usage.
        delivery: Delivery,
    },
}

/// The value of a claim object, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Identity of the request that created the claim, unique across all hosts and restarts.
    pub holder: Arc<str>,
    /// Fingerprint of that request. A request with the same key but another fingerprint is refused.
    pub fingerprint: Fingerprint,
    /// When the claim expires. A claim that is still running then has lost its holder.
    #[serde(rename = "term_end")]
    pub expires_at: UnixMs,
    /// Identity of the write that produced this value. It shows whether a write whose response was
    /// lost took effect.
    pub write_id: Arc<str>,
    /// Progress of the request.
    pub progress: Progress,
}

impl Claim {
    /// Encodes the claim as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has no map keys and no failing serializers")
    }

    /// Decodes a claim. Returns `None` if the value is longer than [`MAX_CLAIM_BYTES`] or not a claim.
    pub fn decode(value: &[u8]) -> Option<Claim> {
        if value.len() > MAX_CLAIM_BYTES {
            return None;
        }
        serde_json::from_slice(value).ok()
    }

    /// Returns whether the claim's retention has ended, so that the host that holds the lease
    /// `lease/claims` deletes it.
    pub fn is_retention_over(&self, wall: UnixMs) -> bool {
        wall > self.expires_at + CLAIM_RETENTION
    }
}
