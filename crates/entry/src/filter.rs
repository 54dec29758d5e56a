//! The steps of the chain, one small module each.

pub mod account;
pub mod admit;
pub mod bill;
pub mod chat;
pub mod claim;
pub mod open;
pub mod place;
pub mod select;
pub mod service;
pub mod session;
