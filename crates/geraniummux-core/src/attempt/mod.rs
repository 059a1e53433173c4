//! One request as a state machine: attempts, retries, hedges, deadlines and cancellation.
//!
//! The daemon feeds [`Event`]s to a [`RequestState`] and performs the returned [`Action`]s in
//! order. Exactly one of `Respond`, `Relay`, `Replay` and `Abandon` is returned per request.
//!
//! ```
//! use geraniummux_core::attempt::{Action, Connection, Event, RequestOptions, RequestState};
//! use geraniummux_core::budget::RouteBudgets;
//! use geraniummux_core::{Outcome, Time};
//! use std::time::Duration;
//!
//! let now = Time::from_millis(5);
//! let mut budgets = RouteBudgets::new(0.1, 0.05, now);
//! let mut request = RequestState::new(RequestOptions {
//!     idempotent: true,
//!     deadline: now + Duration::from_secs(1),
//!     ..RequestOptions::default()
//! });
//!
//! // The deadline timer starts and the request asks for a slot.
//! let actions = request.start(now);
//! assert_eq!(actions.last(), Some(&Action::Admit));
//! let actions = request.on(now, Event::Admitted { quarantined: false }, &mut budgets);
//! assert_eq!(actions, [Action::Pick { attempt: 0, avoid: vec![] }]);
//!
//! // The balancer picked a target that has a connection idle for 3 ms.
//! let idle = Some(Duration::from_millis(3));
//! let actions = request.on(now, Event::Picked { attempt: 0, target: "t1".into(), idle }, &mut budgets);
//! assert!(matches!(&actions[0], Action::Open { connection: Connection::Reuse, .. }));
//! let connected = Event::Connected { attempt: 0, reused: true, quarantined: false };
//! let actions = request.on(now, connected, &mut budgets);
//! assert!(matches!(actions[0], Action::Send { attempt: 0, depth: 1, .. }));
//!
//! // The whole answer arrived: the slot is free and the answer goes to the caller.
//! let response = Event::ResponseReady { attempt: 0, status: 200, buffered: true };
//! let actions = request.on(now, response, &mut budgets);
//! assert_eq!(actions, [Action::ReleaseSlot, Action::Relay { attempt: 0, outcome: Outcome::Served }]);
//! assert!(request.on(now, Event::Delivered, &mut budgets).is_empty());
//! assert!(request.is_done());
//! ```

mod action;
mod event;
mod options;
mod state;

pub use crate::refusal::Refusal;
pub use action::Action;
pub use event::{Connection, Event, Timer};
pub use options::{DEFAULT_STALE_CONNECTION_TIMEOUT, MAX_NON_IDEMPOTENT_IDLE, RequestOptions};
pub use state::{RequestState, status_outcome};

/// Number of an attempt within its request, counted from 0.
pub type AttemptNo = u8;
