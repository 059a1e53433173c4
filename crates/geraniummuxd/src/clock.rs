//! The clocks of the process. State machines don't read them but receive the time as an argument.

pub use geraniummux_host::Clock;
