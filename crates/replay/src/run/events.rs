//! Handles trace events, load reports, ratings, verdicts and roll-outs.

use policy::name::Name;
use policy::place;
use policy::rollout::{self, Action as Next};
use policy::time::Millis;

use super::knowledge::Rating;
use super::{REPORT_INTERVAL_MS, ROLLOUT_INTERVAL_MS, Replay, SWEEP_INTERVAL_MS, Step};
use crate::trace::Happening;

impl Replay<'_> {
    pub(super) fn apply_event(&mut self, index: usize) {
        match &self.trace.events[index].what {
            Happening::TurnedBad { version } => {
                self.bad.insert(version.clone(), 0);
            }
            Happening::Withdraw { version } => self.withdraw(version),
            Happening::PoolDown { pool, workers } => self.pool_down(pool, *workers),
            Happening::PoolUp { pool } => {
                if let Some(pool) = self.pools.get_mut(pool) {
                    pool.restart();
                }
            }
            Happening::PlatformDown => self.platform_up = false,
            Happening::PlatformUp => self.platform_up = true,
            Happening::RaterDown => self.rater_up = false,
            Happening::RaterUp => self.rater_up = true,
            Happening::RaterSlow { ms } => self.rate_ms = *ms,
            Happening::ControlDown => self.control_up = false,
            Happening::ControlUp => self.control_up = true,
        }
    }

    /// Withdraws a version: each host receives the new configuration after the evidence delay.
    fn withdraw(&mut self, version: &Name) {
        self.withdrawn.push(version.clone());
        let at = self.now + self.trace.header.evidence_delay_ms;
        for host in 0..self.hosts.len() {
            self.clock.push(at, Step::Stopped { host, version: version.clone() });
        }
    }

    fn pool_down(&mut self, name: &Name, workers: Option<u32>) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        for call in pool.stop(workers) {
            self.break_call(call);
        }
    }

    /// Handles a rating at the host that requested it, and forwards it to the other hosts, which
    /// receive it after the evidence delay.
    pub(super) fn receive_rating(&mut self, host: usize, rating: &Rating) {
        self.tally.rated += 1;
        self.tally.rate_cost += self.trace.header.rate_cost;
        self.tally.spend(&rating.task, self.trace.header.rate_cost);
        match self.bad.get_mut(&rating.version) {
            Some(count) if !self.detected_at.contains_key(&rating.version) => *count += 1,
            _ => {}
        }
        self.record_rating(host, rating);
        self.notify_peers(host, |host| Step::PeerRating { host, rating: rating.clone() });
    }

    pub(super) fn record_rating(&mut self, host: usize, rating: &Rating) {
        let now = self.now;
        if !self.hosts[host].knowledge.observe(rating, now) {
            return;
        }
        let version = rating.version.clone();
        if !self.detected_at.contains_key(&version) {
            self.detected_at.insert(version.clone(), now);
            match self.bad.get(&version) {
                Some(rated) => self.tally.exposure.rated += rated,
                None => self.tally.false_alarms += 1,
            }
        }
        self.stop_version(host, &version);
        self.notify_peers(host, |host| Step::Stopped { host, version: version.clone() });
    }

    pub(super) fn stop_version(&mut self, host: usize, version: &Name) {
        if !self.hosts[host].knowledge.takes_work(version) {
            return;
        }
        self.hosts[host].knowledge.stop(version);
        let exposed = |call: &&super::Call| {
            call.host == host && call.is_exposed && !call.is_finished && call.version == *version
        };
        self.tally.exposure.in_flight += self.calls.iter().filter(exposed).count() as u64;
    }

    pub(super) fn collect_reports(&mut self) {
        for (name, pool) in &self.pools {
            let step =
                Step::DeliverReports { pool: name.clone(), loads: pool.loads(), at: self.now };
            self.clock.push(self.now + pool.settings.report_lag_ms, step);
        }
        self.reschedule(REPORT_INTERVAL_MS, Step::Report);
    }

    pub(super) fn deliver_reports(&mut self, pool: &Name, loads: &[Option<u32>], at: Millis) {
        for host in &mut self.hosts {
            if let Some(view) = host.pools.get_mut(pool) {
                view.record_reports(loads, at);
            }
        }
        for host in 0..self.hosts.len() {
            self.drain_queue(host, pool);
        }
    }

    pub(super) fn check_rollouts(&mut self) {
        if self.platform_up && self.control_up {
            (0..self.rollouts.len()).for_each(|index| self.check_rollout(index));
        }
        self.reschedule(ROLLOUT_INTERVAL_MS, Step::Rollouts);
    }

    fn check_rollout(&mut self, index: usize) {
        let row = &mut self.rollouts[index];
        // All controls decide alike, so the first host's ratings stand for any control's.
        let ratings = self.hosts[0].knowledge.ratings(&row.version);
        match rollout::next(&row.schedule, &row.progress, &ratings, self.now) {
            Next::Raise(progress) | Next::Stop(progress) => row.progress = progress,
            Next::Hold | Next::Done => {}
        }
        let (version, share) = (row.version.clone(), row.progress.share(&row.schedule));
        let at = self.now + self.trace.header.evidence_delay_ms;
        for host in 0..self.hosts.len() {
            self.clock.push(at, Step::Share { host, version: version.clone(), share });
        }
    }

    pub(super) fn sweep(&mut self) {
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for host in 0..self.hosts.len() {
            for name in &names {
                self.sweep_queue(host, name);
                self.drain_queue(host, name);
            }
        }
        self.reschedule(SWEEP_INTERVAL_MS, Step::Sweep);
    }

    /// Returns the hash that places a session's requests on the same backend server, because they
    /// share a prompt prefix; `None` without a session.
    pub(super) fn affinity(&self, request: usize) -> Option<u64> {
        let session = self.trace.requests[request].session.as_ref()?;
        Some(place::hash(session.as_bytes()))
    }
}
