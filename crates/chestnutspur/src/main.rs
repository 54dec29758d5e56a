//! The chestnutspur command.
fn main() {}
