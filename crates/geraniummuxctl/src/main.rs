//! Not implemented yet.
fn main() {}
