//! Stand-ins for the platform, targets and callers, and the processes of a small deployment on loopback.

pub mod caller;
pub mod fleet;
pub mod http1;
pub mod record;
pub mod target;
