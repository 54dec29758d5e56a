//! Assigns the blame for a failed attempt: to a connection, a backend server or a failure domain.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use entry::clock;
use entry::connection::Cause;

use crate::attempt::Failure;
use crate::backend::Backend;
use crate::codec::{Codec, Ids};
use crate::job::Job;
use crate::wait::STREAM_BUSY_SHARE;

impl<C: Codec> Job<C> {
    /// Records a failed attempt: which server or host is to blame, and what that means for the
    /// request's next attempt.
    pub fn blame(&mut self, backend: &Arc<Backend>, failure: Failure) {
        self.record_fetch_failed();
        let is_paid = *self.attempts.is_paid.get_mut();
        match (backend.is_host, &self.attempts.continue_from) {
            (true, _) => self.blame_host(backend, failure),
            (false, None) => self.blame_server(backend, failure),
            (false, Some(_)) if failure == (Failure::NotRun { misdirected: false }) => {
                self.record_no_copy(backend);
            }
            (false, Some(_)) => {
                metrics::counter!("gateway_continuations_total", "result" => "failed").increment(1);
                self.blame_server(backend, failure);
                if failure.is_unsent() {
                    self.return_copy();
                }
                // No repeat was taken for the attempt, so none is left over from it.
                *self.attempts.is_paid.get_mut() = is_paid;
            }
        }
        log::info!(target: "route", request:% = self.info.id, backend:% = backend.id,
            cause:? = failure, sent = self.attempts.sent, digest:% = self.fingerprint().request,
            parts:% = Ids(self.info.shared_parts()), left_ms = self.time_left().as_millis() as u64;
            "try failed");
    }

    /// Records that another host did not answer the request.
    fn blame_host(&mut self, host: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        // The backend server that the host chose is not tried again.
        self.record_failed_server(self.attempts.backend.clone());
        match failure {
            // A reused connection had been closed by the other end. The host is tried again on a
            // new one.
            Failure::Unsent(Cause::Broken) if !self.attempts.needs_new_connection => {
                self.attempts.needs_new_connection = true;
                self.attempts.excluded.retain(|tried| *tried != host.id);
            }
            Failure::Unsent(_) => host.server.record_failure(now),
            // The host itself is well, and may take requests again at any time.
            Failure::NotRun { misdirected: true } => host.record_unavailable(now),
            Failure::NotRun { misdirected: false } | Failure::Unwanted => {}
            Failure::Lost(cause) => {
                self.attempts.may_have_run = true;
                self.attempts.needs_new_connection = true;
                // An answer that was truncated mostly broke off at the backend server, not at the
                // host.
                if matches!(cause, Cause::Silent | Cause::Broken) {
                    host.server.record_failure(now);
                    self.attempts.excluded.push(host.id.clone());
                }
            }
        }
        // Nothing arrived at a server, so the repeat that was taken has not been used.
        let is_left = !self.attempts.was_attempted && self.attempts.sent > 0;
        self.attempts.is_paid.fetch_or(is_left, Ordering::Relaxed);
    }

    /// Records that a backend server did not answer the request.
    fn blame_server(&mut self, backend: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        match failure {
            Failure::Unsent(Cause::Silent) if backend.opens_connections(now) => {
                // The server takes others' connections. It may be the only one, so it is tried again.
                self.attempts.is_paid.fetch_or(self.attempts.sent > 0, Ordering::Relaxed);
                self.attempts.unsent += 1;
            }
            Failure::Unsent(cause) => {
                // Nothing arrived at the server, so the repeat that was taken has not been used.
                self.attempts.is_paid.fetch_or(self.attempts.sent > 0, Ordering::Relaxed);
                match cause {
                    Cause::Refused | Cause::Unreachable => self.attempts.refused += 1,
                    _ => self.attempts.unsent += 1,
                }
                match cause {
                    Cause::Refused | Cause::Unreachable => {
                        if cause == Cause::Refused {
                            backend.record_ended(now);
                        }
                        backend.record_refused(now);
                        self.expect_restart(backend);
                        // If the server has ended, other requests were lost with it.
                        if !self.state.reach.is_isolated() {
                            self.state.probe_soon(backend);
                        }
                    }
                    Cause::Silent => {
                        if backend.record_timeout(now) {
                            self.expect_restart(backend);
                        }
                        // The whole failure domain may be cut off. Trying its servers one after
                        // another would use up the request's time.
                        if !backend.is_near {
                            self.attempts
                                .silent_domains
                                .push(backend.server.failure_domain.clone());
                        }
                    }
                    // A reused connection had been closed by the other end. A new one is tried.
                    _ => self.attempts.needs_new_connection = true,
                }
                if matches!(cause, Cause::Refused | Cause::Unreachable | Cause::Silent) {
                    self.attempts.excluded.push(backend.id.clone());
                }
            }
            Failure::Unwanted => {
                self.attempts.is_paid.fetch_or(self.attempts.sent > 0, Ordering::Relaxed);
                self.attempts.excluded.push(backend.id.clone());
            }
            Failure::NotRun { misdirected } => {
                self.attempts.not_run += 1;
                self.record_failed_server(Some(backend.id.clone()));
                if let Some(per_second) = self.tolerance().filter(|_| !misdirected) {
                    backend.record_rejected(per_second, rand::random(), now);
                }
                if !misdirected {
                    if self.state.admission.is_on() {
                        backend.record_full(now);
                    }
                    self.attempts.rejected_by.push(backend.id.clone());
                }
                if misdirected {
                    backend.record_refused(now);
                    self.state.poison.record_ended(&backend.id);
                }
            }
            Failure::Lost(cause) => {
                if cause == Cause::Broken {
                    self.state.reach.record_failure(backend);
                }
                self.record_broken(backend, cause);
                self.attempts.may_have_run = true;
                self.attempts.needs_new_connection = true;
                self.record_failed_server(Some(backend.id.clone()));
                if !self.time_left().is_zero() {
                    backend.record_outcome(true, now);
                    self.record_for_rollout(backend, None);
                }
                if failure == Failure::Lost(Cause::Silent) && self.is_timed(backend) {
                    let waited = self.route().objective_ms as f64 * STREAM_BUSY_SHARE;
                    self.state.timings.with(self.timing_key(), |timing| {
                        timing.first.record_abandoned(waited, now);
                    });
                }
            }
        }
    }

    fn expect_restart(&self, backend: &Backend) {
        // An isolated host would make all others send less to servers that are well.
        if self.state.reach.is_isolated() {
            return;
        }
        let snapshot = self.state.snapshot.load();
        let service = snapshot.index.services.get(&self.service);
        let Some(warmup) = service.and_then(|service| service.warmup) else { return };
        if let Some(notice) = backend.expect_restart(warmup, clock::steady()) {
            // If the queue is full, the other hosts find out by themselves.
            let _ = self.state.outbox.restrictions.try_send(notice);
        }
    }
}
