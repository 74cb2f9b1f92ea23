//! cli
fn main() {}
