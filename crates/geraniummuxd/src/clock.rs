//! Reads the clocks, so that all other code receives the time as an argument.

pub use geraniummux_host::Clock;
