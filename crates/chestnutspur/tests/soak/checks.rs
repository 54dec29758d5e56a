//! Checks of a run's promises that need the fleet itself: its stand-ins, logs and processes. Each
//! returns the violation, if any.

use std::time::{Duration, Instant};

use platform::names;
use policy::hedge::Withheld;
use standin::routed::Arrival;

use crate::callers::{self, Crash, Kind, Outcome};
use crate::fleet::{BACKEND_COUNT, Fleet, NODE_COUNT};

/// Time within which all nodes that reach the store know that a third server has crashed.
const PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// Number of further servers that may crash from the same cause after that time.
const FURTHER_CRASHES_MAX: usize = 3;

impl Fleet {
    /// Returns the times at which crash requests reached backend servers.
    fn crash_times(&self) -> Vec<Instant> {
        let arrivals = self.backends.iter().flat_map(|backend| backend.arrivals());
        let has_part = |arrival: &Arrival| {
            let parts = arrival.headers.get(names::PROMPT_PARTS).map(|parts| parts.as_bytes());
            parts.is_some_and(|parts| String::from_utf8_lossy(parts).contains(callers::CRASH_PART))
        };
        let crash_requests =
            arrivals.filter(|arrival| arrival.body == callers::CRASH_BODY || has_part(arrival));
        let mut times: Vec<Instant> = crash_requests.map(|arrival| arrival.at).collect();
        times.sort();
        times
    }

    /// Checks, after the faults, that all nodes hold back a request or prompt part that has crashed
    /// enough servers to be known. Returns the violation, if any.
    pub async fn check_crash_requests_held(&mut self) -> Option<String> {
        let known_after = match self.crash {
            Crash::Request => 3,
            Crash::PromptPart => 5,
        };
        let before = self.crash_times().len();
        if before < known_after {
            return None;
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
        for node in (0..NODE_COUNT).chain(0..NODE_COUNT) {
            self.send_crash_request(node).await;
        }
        let more = self.crash_times().len() - before;
        (more > FURTHER_CRASHES_MAX)
            .then(|| format!("{more} more servers crashed from one {:?}", self.crash))
    }

    /// Checks, after the faults, that the newest table comes into force on all nodes. Returns the
    /// violation, if any.
    pub async fn check_newest_table(&self) -> Option<String> {
        // A long table takes two seconds on a slow link, and another one may follow it.
        self.wait_for_table(Duration::from_secs(10)).await
    }

    /// Checks, after the faults, that each engine is followed by one node of its failure domain.
    /// Returns the violation, if any.
    pub async fn check_engines_followed(&self) -> Option<String> {
        self.settings.get("prefix_index")?;
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let mut followed = 0;
            for node in &self.nodes {
                followed += callers::followed_count(node.operators).await.unwrap_or_default();
            }
            match followed {
                followed if followed == BACKEND_COUNT as u64 => return None,
                followed if Instant::now() > end => {
                    return Some(format!("{followed} engines are followed"));
                }
                _ => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Checks that nodes hedged no more than their share of all requests. Returns the violation, if
    /// any.
    pub fn check_hedges(&self, requests: usize) -> Option<String> {
        let most = requests as f64 * self.settings["hedging"]["share"].as_f64()?;
        let hedges = self.count_in_logs("\"hedge sent\"");
        let withheld = Withheld::ALL.map(|why| {
            let label = why.label();
            (label, self.count_in_logs(&format!("\"why\":\"{label}\"")))
        });
        println!("soak: {hedges} hedges for {requests} requests, withheld {withheld:?}");
        (hedges as f64 > most).then(|| format!("{hedges} hedges for {requests} requests"))
    }

    /// Checks that requests waited at nodes that may keep them waiting. Returns the violation, if
    /// any.
    pub fn check_waits(&self) -> Option<String> {
        self.settings.get("admission")?;
        let waits = self.count_in_logs("\"request waited for a server\"");
        println!("soak: {waits} requests waited");
        (waits == 0).then(|| "no request waited for a server".to_owned())
    }

    /// Checks that nodes had copies of streams made if they may, and that no handle was sent twice.
    /// Returns the violation, if any.
    pub fn check_copies(&self) -> Option<String> {
        let may_copy = self.settings.get("streams").is_some();
        let arrivals: Vec<Arrival> =
            self.backends.iter().flat_map(|backend| backend.arrivals()).collect();
        let mut handles: Vec<_> = arrivals
            .iter()
            .filter_map(|arrival| arrival.headers.get(names::CONTINUE_FROM)?.to_str().ok())
            .collect();
        let (count, backups) = (handles.len(), self.count_in_logs("\"backup asked for\""));
        if may_copy {
            println!("soak: {backups} backups, {count} streams continued from copies");
        }
        handles.sort_unstable();
        handles.dedup();
        match handles.len() {
            used if used < count => Some(format!("{} handles were used twice", count - used)),
            _ if may_copy != (backups > 0) || !may_copy && count > 0 => {
                Some(format!("{backups} backups, {count} copies used, allowed: {may_copy}"))
            }
            _ => None,
        }
    }

    /// Checks, after the faults, that all memory held for requests is given back, and that nodes read
    /// less in between. Returns the violation, if any.
    pub async fn check_memory_given_back(&self) -> Option<String> {
        self.settings.get("held_bytes")?;
        let shortages = self.count_in_logs("\"host reads less, ");
        println!("soak: nodes read less {shortages} times");
        let end = Instant::now() + Duration::from_secs(5);
        loop {
            let mut held = 0;
            for node in &self.nodes {
                held += callers::held_bytes(node.operators).await.unwrap_or(u64::MAX >> 2);
            }
            match held {
                0 => return (shortages == 0).then(|| "no node read less".to_owned()),
                held if Instant::now() > end => return Some(format!("{held} bytes still held")),
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Returns how often a text occurs in the logs of all nodes.
    fn count_in_logs(&self, text: &str) -> usize {
        let logs = self.nodes.iter().filter_map(|node| std::fs::read_to_string(&node.log).ok());
        logs.map(|log| log.matches(text).count()).sum()
    }

    /// Checks that fetches were asked for if the nodes may ask for them, and only from other engines
    /// of the service. Returns the violation, if any.
    pub fn check_fetches(&self) -> Option<String> {
        let may_fetch = self.settings["placement"]["fetch"].as_bool().unwrap_or_default();
        let engines: Vec<String> =
            self.backend_proxies.iter().map(|proxy| proxy.address.to_string()).collect();
        let mut count = 0;
        for (number, backend) in self.backends.iter().enumerate() {
            for arrival in backend.arrivals() {
                let Some(source) = arrival.headers.get(names::FETCH_FROM) else { continue };
                let source = source.to_str().unwrap_or_default();
                if source == engines[number] || !engines.iter().any(|engine| engine == source) {
                    return Some(format!("engine {number} was told to fetch from {source}"));
                }
                count += 1;
            }
        }
        if may_fetch {
            println!("soak: {count} fetches");
        }
        (may_fetch != (count > 0)).then(|| format!("{count} fetches, allowed: {may_fetch}"))
    }

    /// Checks, after the faults, that all nodes serve requests of all kinds. Returns the violation,
    /// if any.
    pub async fn check_serving(&self) -> Option<String> {
        // Backend servers whose connections broke may stay under suspicion for some seconds.
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let mut unserved = Vec::new();
            for (number, node) in self.nodes.iter().enumerate() {
                for kind in Kind::ALL {
                    let observation = callers::send_once(node.callers, kind).await;
                    if !matches!(
                        observation.outcome,
                        Outcome::Answered { status: 200, is_whole: true, .. }
                    ) {
                        unserved.push(format!("node {number}: {observation:?}"));
                    }
                }
            }
            match unserved.is_empty() {
                true => return None,
                false if Instant::now() > end => return Some(format!("unserved: {unserved:?}")),
                false => tokio::time::sleep(Duration::from_millis(200)).await,
            }
        }
    }
}
