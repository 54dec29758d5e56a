//! Who is to blame for a try that failed: a connection, a backend server, a failure domain.

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
    /// A try failed: who is to blame, and what is known of the request now.
    pub fn blame(&mut self, backend: &Arc<Backend>, failure: Failure) {
        match backend.is_host {
            true => self.blame_host(backend, failure),
            false => self.blame_server(backend, failure),
        }
        log::info!(target: "route", request:% = self.info.id, backend:% = backend.id,
            cause:? = failure, sent = self.attempts.sent, digest:% = self.fingerprint().request,
            parts:% = Ids(self.info.shared_parts()), left_ms = self.time_left().as_millis() as u64;
            "try failed");
    }

    /// Another host did not answer it.
    fn blame_host(&mut self, host: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        // The server that it was sent to there is not tried again.
        self.record_failed_server(self.attempts.backend.clone());
        match failure {
            // An old connection was closed by the other end; a new one is tried.
            Failure::Unsent(Cause::Broken) if !self.attempts.needs_new_connection => {
                self.attempts.needs_new_connection = true;
                self.attempts.excluded.retain(|tried| *tried != host.id);
            }
            Failure::Unsent(_) => host.server.note_failure(now),
            // It is well, and may serve again at any time.
            Failure::NotRun { misdirected: true } => host.record_unavailable(now),
            Failure::NotRun { misdirected: false } | Failure::Unwanted => {}
            Failure::Lost(cause) => {
                self.attempts.may_have_run = true;
                self.attempts.needs_new_connection = true;
                // An answer that breaks off there mostly did so at the server.
                if matches!(cause, Cause::Silent | Cause::Broken) {
                    host.server.note_failure(now);
                    self.attempts.excluded.push(host.id.clone());
                }
            }
        }
        // Nothing arrived at a server, so the repeat that was paid for is still to be made.
        let is_left = !self.attempts.was_attempted && self.attempts.sent > 0;
        self.attempts.is_repeat_taken.fetch_or(is_left, Ordering::Relaxed);
    }

    /// A backend server did not answer it.
    fn blame_server(&mut self, backend: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        match failure {
            Failure::Unsent(cause) => {
                // Nothing arrived anywhere, so the repeat that was paid for is still to be made.
                self.attempts.is_repeat_taken.fetch_or(self.attempts.sent > 0, Ordering::Relaxed);
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
                        // Others were lost there if it has ended.
                        if !self.state.reach.is_isolated() {
                            self.state.probe_soon(backend);
                        }
                    }
                    Cause::Silent => {
                        if backend.record_timeout(now) {
                            self.expect_restart(backend);
                        }
                        // A whole failure domain may be cut off. Trying its servers one after
                        // another would use up the request's time.
                        if !backend.is_near {
                            self.attempts
                                .silent_domains
                                .push(backend.server.failure_domain.clone());
                        }
                    }
                    // An old connection was closed by the other end; a new one is tried.
                    _ => self.attempts.needs_new_connection = true,
                }
                if matches!(cause, Cause::Refused | Cause::Unreachable | Cause::Silent) {
                    self.attempts.excluded.push(backend.id.clone());
                }
            }
            Failure::Unwanted => {
                self.attempts.is_repeat_taken.fetch_or(self.attempts.sent > 0, Ordering::Relaxed);
                self.attempts.excluded.push(backend.id.clone());
            }
            Failure::NotRun { misdirected } => {
                self.attempts.not_run += 1;
                self.record_failed_server(Some(backend.id.clone()));
                if let Some(per_second) = self.tolerance().filter(|_| !misdirected) {
                    backend.record_rejected(per_second, rand::random(), now);
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
                        timing.first.note_cut(waited, now);
                    });
                }
            }
        }
    }

    fn expect_restart(&self, backend: &Backend) {
        // A host that is cut off would have all others send less to servers that are well.
        if self.state.reach.is_isolated() {
            return;
        }
        let snapshot = self.state.snapshot.load();
        let service = snapshot.index.services.get(&self.service);
        let Some(warmup) = service.and_then(|service| service.warmup) else { return };
        if let Some(restricted) = backend.expect_restart(warmup, clock::steady()) {
            // When too many wait the others find out for themselves.
            let _ = self.state.outbox.restrictions.try_send(restricted);
        }
    }
}
