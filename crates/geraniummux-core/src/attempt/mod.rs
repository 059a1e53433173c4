//! One request as a state machine: attempts, retries, hedges, deadlines and cancellation.
//!
//! The daemon passes each [`Event`] to a [`RequestState`] and performs the returned [`Action`]s in
//! order. Exactly one of `Respond`, `Relay`, `Replay` and `Abandon` is returned per request.
//! A non-idempotent request is sent again only if it is proven that no handler received it.
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
//! // The deadline timer starts and the request asks the admission control for a slot.
//! let actions = request.start(now);
//! assert_eq!(actions.last(), Some(&Action::Admit));
//! let actions = request.on_event(now, Event::Admitted { quarantined: false }, &mut budgets);
//! assert_eq!(actions, [Action::Pick { attempt: 0, avoid: vec![] }]);
//!
//! // The balancer picked a target that has a connection idle for 3 ms.
//! let idle = Some(Duration::from_millis(3));
//! let picked = Event::Picked { attempt: 0, target: "t1".into(), idle };
//! let actions = request.on_event(now, picked, &mut budgets);
//! assert!(matches!(&actions[0], Action::Open { connection: Connection::Reuse, .. }));
//! let connected = Event::Connected { attempt: 0, reused: true, quarantined: false };
//! let actions = request.on_event(now, connected, &mut budgets);
//! assert!(matches!(actions[0], Action::Send { attempt: 0, depth: 1, .. }));
//!
//! // The complete response arrived: the slot is released and the response goes to the caller.
//! let response = Event::ResponseReady { attempt: 0, status: 200, buffered: true };
//! let actions = request.on_event(now, response, &mut budgets);
//! assert_eq!(actions, [Action::ReleaseSlot, Action::Relay { attempt: 0, outcome: Outcome::Served }]);
//! assert!(request.on_event(now, Event::Delivered, &mut budgets).is_empty());
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

/// Index of an attempt within its request, from 0.
pub type AttemptNo = u8;
