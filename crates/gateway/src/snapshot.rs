//! What requests are decided by at one moment: the routing table and the backend servers. A
//! snapshot is replaced as a whole and never changed.

use std::collections::HashMap;
use std::sync::Arc;

use policy::name::Name;

use crate::index::Index;
use crate::pool::Pool;

/// The routing table and backend servers at one moment.
#[derive(Default)]
pub struct RoutingSnapshot {
    /// The routing table in force; its version is 0 until there is a table.
    pub index: Arc<Index>,
    /// Backend servers by service.
    pub pools: HashMap<Name, Arc<Pool>>,
    /// The store revision of the list of backend servers.
    pub revision: u64,
    /// Whether everything that requests need has been read once. The flag is part of the snapshot
    /// because a host that reported ready before its requests saw the data would refuse those
    /// requests.
    pub is_complete: bool,
}
