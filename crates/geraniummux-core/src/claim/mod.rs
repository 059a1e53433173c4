//! At-most-once execution of requests with an idempotency key.
//!
//! A [`ClaimState`] creates the key's claim in the platform before the request runs and settles it
//! afterwards. It has at most one platform call outstanding. The daemon performs each returned
//! [`ClaimAction`] and passes the result of a call to [`ClaimState::on_result`].
//!
//! No claim is ever taken over: only the request that created it can change or release it, so a
//! host that resumes after any pause can't cause a second run.

mod object;
mod state;

pub use object::{
    CLAIM_KIND, CLAIM_RETENTION, CLAIM_TTL_MARGIN, Claim, Delivery, MAX_CLAIM_BYTES,
    MAX_STORED_BODY_BYTES, MAX_STORED_HEADERS_BYTES, Progress, StoredResponse, claim_name,
};
pub use state::{CallResult, ClaimAction, ClaimOptions, ClaimState};
