//! Service levels: counts of all hosts, and how fast error budgets burn.

mod plot;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::burn::{BUCKET_MS, Burn, Counts, Series, WINDOWS};
use policy::domain;
use policy::name::Name;
use policy::time::Millis;
use wire::configuration::Document;
use wire::gossip::LevelCounts;

pub use plot::svg;

domain! {
    /// What `GET /burn` says.
    #[derive(Default)]
    pub struct Report {
        /// When, in milliseconds since the epoch.
        pub at: Millis,
        /// Since when this control has counts; what its windows reach back beyond is not in them.
        pub since: Millis,
        /// Each service level of the document.
        pub levels: Vec<Service>,
    }

    /// One service level.
    pub struct Service {
        /// Its name.
        pub name: Name,
        /// Whose requests.
        pub account: Name,
        /// Which task; all if absent.
        pub task: Option<Name>,
        /// Share of requests that must be answered in time.
        pub objective: f64,
        /// In time means within this many milliseconds.
        pub within_ms: u64,
        /// Windows, fast and slow.
        pub burns: Vec<Burn>,
        /// Whether any window pair burns past its threshold.
        pub alert: bool,
    }
}

/// The controller.
#[derive(Default)]
pub struct Controller {
    series: Mutex<BTreeMap<Name, Series>>,
}

impl Controller {
    fn series(&self) -> MutexGuard<'_, BTreeMap<Name, Series>> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds counts of one piece of news.
    pub fn count(&self, levels: &[LevelCounts], now: Millis) {
        let mut all = self.series();
        for level in levels {
            let counts = Counts { good: level.good, total: level.total };
            let buckets = BTreeMap::from([(now.0 / BUCKET_MS, counts)]);
            let series = all.entry(level.name.clone()).or_default();
            series.add(&Series { buckets });
            series.prune(now);
        }
    }

    /// All counts, for a control that starts.
    #[must_use]
    pub fn all(&self) -> Vec<(Name, Series)> {
        self.series().iter().map(|(name, series)| (name.clone(), series.clone())).collect()
    }

    /// Takes in another control's counts of the same requests.
    pub fn join(&self, levels: &[(Name, Series)]) {
        let mut all = self.series();
        for (name, series) in levels {
            all.entry(name.clone()).or_default().merge(series);
        }
    }

    /// The counts of one service level.
    #[must_use]
    pub fn of(&self, level: &str) -> Series {
        self.series().get(level).cloned().unwrap_or_default()
    }

    /// The report.
    #[must_use]
    pub fn report(&self, document: &Document, now: Millis) -> Report {
        let all = self.series();
        let oldest = all.values().filter_map(|series| series.buckets.keys().next()).min();
        let since = oldest.map_or(now, |bucket| Millis(bucket * BUCKET_MS));
        let empty = Series::default();
        let service = |(name, level): (&Name, &wire::configuration::ServiceLevel)| {
            let series = all.get(name).unwrap_or(&empty);
            let burns = WINDOWS.map(|window| series.burn(level.objective, window, now)).to_vec();
            Service {
                name: name.clone(),
                account: level.account.clone(),
                task: level.task.clone(),
                objective: level.objective,
                within_ms: level.within_ms,
                alert: burns.iter().any(|burn| burn.alert),
                burns,
            }
        };
        let levels = document.service_levels.iter().map(service).collect();
        Report { at: now, since, levels }
    }
}
