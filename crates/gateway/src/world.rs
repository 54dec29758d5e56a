//! What requests are decided by at one moment; replaced whole, never changed.

use std::collections::HashMap;
use std::sync::Arc;

use policy::name::Name;

use crate::index::Index;
use crate::pool::Pool;

/// One state of the world.
#[derive(Default)]
pub struct World {
    /// The table of routes in force; version 0 before there is one.
    pub index: Arc<Index>,
    /// Backend servers by service.
    pub pools: HashMap<Name, Arc<Pool>>,
    /// Revision of the list of backend servers.
    pub revision: u64,
}

impl World {
    /// Whether there is a table of routes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.index.version > 0
    }
}
