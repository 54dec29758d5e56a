//! What requests are decided by at one moment; replaced whole, never changed.

use std::collections::HashMap;
use std::sync::Arc;

use policy::name::Name;

use crate::index::Index;
use crate::pool::Pool;

/// One state of the world.
#[derive(Default)]
pub struct RoutingSnapshot {
    /// The table of routes in force; version 0 before there is one.
    pub index: Arc<Index>,
    /// Backend servers by service.
    pub pools: HashMap<Name, Arc<Pool>>,
    /// Revision of the list of backend servers.
    pub revision: u64,
    /// Everything that requests need has been read once. It stands here, and not beside what was
    /// read: a host that was ready before its requests saw that would refuse them.
    pub is_complete: bool,
}
