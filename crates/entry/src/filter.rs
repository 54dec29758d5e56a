//! The filters of the chain, one module for each step.

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
