//! All processes are killed while the store is down for some seconds. A request that is known to crash
//! workers comes again once all is calm.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deadly::{
    BOUNDS, CONTACT, DEADLY, HOSTS, RETRIES_MAX, SERVICE, Scene, WORKERS, ZONES, manifest, nodes,
    send_sound,
};
use crate::hosts;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Manner, Workers};

/// How long the store is down.
const DOWN: Duration = Duration::from_millis(4_000);
/// The short delay after which the platform starts a process again that was killed.
const RESTART: Duration = Duration::from_millis(1_000);

pub fn play(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Outcome {
    let store = Store::start();
    store.put("op", "config", Some(&manifest()));
    let manner = Manner {
        deadly: Some(DEADLY.to_owned()),
        away: Duration::from_millis(4_000),
        events: 6,
        gap: Duration::from_millis(100),
    };
    let mut workers = Workers::new(&store, record, manner);
    for zone in ZONES {
        (0..WORKERS).for_each(|_| workers.add(SERVICE, zone, 48));
    }
    let workers = workers.start();
    let mut started = Vec::new();
    for (zone, count) in ZONES.iter().zip(HOSTS) {
        for number in 1..=count {
            let name = format!("front-{zone}-{number}");
            started.push(hosts::start(&name, zone, &ZONES, store.address, &BOUNDS, folder));
        }
    }
    if !hosts::until_ready(&started) {
        return Outcome::CouldNotRun("the hosts did not get ready");
    }
    record.line("all hosts are ready");
    let scene = Arc::new(Scene {
        record: Arc::clone(record),
        hosts: nodes(&started),
        next: AtomicU64::new(1),
    });
    std::thread::sleep(Duration::from_secs(3));
    for host in &scene.hosts {
        scene.send(host, "sound", "a herd's records");
    }
    scene.submit(ZONES[2], "deadly", DEADLY);
    let Some(third) = workers.crashes.lock().unwrap().get(2).map(|crash| crash.at) else {
        return Outcome::CouldNotRun("the request did not crash three workers");
    };
    // All workers are back, and all zones know of the request.
    std::thread::sleep(Duration::from_secs(12));
    for zone in ZONES {
        scene.submit(zone, "deadly", DEADLY);
    }
    if workers.crashes.lock().unwrap().len() > 3 {
        return Outcome::CouldNotRun("the zones did not know of the request before the trouble");
    }
    if has_trouble {
        record.line("the store is down, all hosts are killed");
        store.is_busy.store(true, Ordering::SeqCst);
        started.iter_mut().for_each(hosts::Host::end);
        std::thread::sleep(RESTART);
        started.iter_mut().for_each(hosts::Host::start_again);
        record.line("all hosts are started again");
        std::thread::sleep(DOWN - RESTART);
        store.is_busy.store(false, Ordering::SeqCst);
        record.line("the store is back");
    }
    if !hosts::until_ready(&started) {
        return Outcome::CouldNotRun("the hosts did not get ready again");
    }
    record.line("all hosts are ready");
    let calm = Instant::now();
    std::thread::sleep(CONTACT + Duration::from_secs(2));
    let (is_over, failed) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let sound = send_sound(&scene, &is_over, &failed);
    std::thread::sleep(Duration::from_secs(2));
    for zone in ZONES {
        scene.submit(zone, "deadly", DEADLY);
    }
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    sound.into_iter().for_each(|thread| drop(thread.join()));
    let lost = failed.lock().unwrap().len();
    let crashes = workers.crashes.lock().unwrap().clone();
    let is_late = |at: Instant| at > third + CONTACT && at > calm + CONTACT;
    let late = crashes.iter().filter(|crash| is_late(crash.at)).count();
    record.line(&format!(
        "crashes: {}; retries that reached workers, contactMs after the third and after all was calm: \
         {late} (at most {RETRIES_MAX}); sound streams that may not be resumed and were cut then: {lost}",
        crashes.len()
    ));
    if late > RETRIES_MAX { Outcome::Broken } else { Outcome::Held }
}
