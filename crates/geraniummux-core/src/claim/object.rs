//! The claim object that is kept in the platform.

use crate::quarantine::Fingerprint;
use crate::time::UnixMs;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// The kind of claim objects in the platform.
pub const CLAIM_KIND: &str = "claim";
/// Largest body of a stored answer, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Largest total size of the stored headers, in bytes.
pub const MAX_STORED_HEADERS_BYTES: usize = 8 << 10;
/// Largest accepted encoded claim, in bytes: a body in base64, escaped headers and the other fields.
pub const MAX_CLAIM_BYTES: usize = 160 << 10;
/// Added to the route's timeout to get a claim's term; covers skew between the hosts' clocks.
pub const CLAIM_TTL_MARGIN: Duration = Duration::from_secs(30);
/// How long a claim is kept after its term.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Returns the name of the claim object of a key: the SHA-256 of tenant, route and key in hex.
pub fn claim_name(tenant: &str, route: &str, key: &str) -> String {
    let mut hash = Sha256::new();
    // Lengths keep the parts apart.
    for part in [tenant, route, key] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().iter().map(|b| format!("{b:02x}")).collect()
}

/// A whole answer as kept with a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// The status.
    pub status: u16,
    /// The headers to be replayed, as selected by the daemon.
    pub headers: Vec<(String, String)>,
    /// The body, encoded as base64.
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Returns whether the answer is small enough to be kept.
    pub fn fits(&self) -> bool {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        self.body.len() <= MAX_STORED_BODY_BYTES && headers <= MAX_STORED_HEADERS_BYTES
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

/// Whether the stored answer reached a caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Delivery {
    /// The host that ran the request delivers the answer and counts it.
    Runner,
    /// As `Runner`, but a replay was delivered meanwhile. If the host that ran the request fails
    /// to deliver the answer, it counts that replay.
    Shown,
    /// That host could not deliver it; the first delivered replay counts.
    Undelivered,
    /// A replay was delivered and counted.
    Replayed,
}

/// How far the claimed request is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Progress {
    /// The request may be running.
    Running,
    /// A target's handler may have run the request, and its answer is not known.
    Unknown,
    /// The request was served.
    Done {
        /// The answer, unless it was too large to be kept.
        #[serde(rename = "answer")]
        response: Option<StoredResponse>,
        /// Who counts the answer.
        delivery: Delivery,
    },
}

/// The value of a claim object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Identity of the request that created the claim, unique over all hosts and restarts.
    pub holder: Arc<str>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// End of the term. A running claim past its term has lost its holder.
    #[serde(rename = "term_end")]
    pub expires_at: UnixMs,
    /// Identity of the write that produced this value. It tells whether a write whose answer was
    /// lost took effect.
    pub write_id: Arc<str>,
    /// How far the request is.
    pub progress: Progress,
}

impl Claim {
    /// Encodes the claim as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has no map keys and no failing serializers")
    }

    /// Decodes a claim; `None` if the value is too long or not a claim.
    pub fn decode(value: &[u8]) -> Option<Claim> {
        if value.len() > MAX_CLAIM_BYTES {
            return None;
        }
        serde_json::from_slice(value).ok()
    }

    /// Returns whether the holder of the lease `lease/claims` deletes the claim.
    pub fn is_expired(&self, wall: UnixMs) -> bool {
        wall > self.expires_at + CLAIM_RETENTION
    }
}
