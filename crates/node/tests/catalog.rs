//! What was read becomes what requests are decided by.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use gateway::world::World;
use node::catalog::Catalog;
use policy::name::Name;
use policy::time::Millis;
use wire::routing::Table;

const NOW: Millis = Millis(1_000);
const TABLES: u64 = 20_000;

/// Two lists published at the same time: a world made before a table came replaced the one made
/// after it, and the host refused all requests.
#[test]
fn publish_newest_table_stays() {
    let catalog = Arc::new(Catalog::new(Name::from("a")));
    let place = Arc::new(ArcSwap::from_pointee(World::default()));
    let ended = Arc::new(AtomicBool::new(false));
    let other = {
        let (catalog, place, ended) =
            (Arc::clone(&catalog), Arc::clone(&place), Arc::clone(&ended));
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                catalog.publish(&place, NOW);
            }
        })
    };
    for version in 1..=TABLES {
        catalog.take_table(Table { version, ..Table::default() });
        catalog.publish(&place, NOW);
        assert_eq!(place.load().index.version, version);
    }
    ended.store(true, Ordering::Relaxed);
    other.join().unwrap();
}
