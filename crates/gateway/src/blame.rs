//! Who is to blame for a try that failed: a connection, a backend server, a failure domain.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use entry::clock;
use entry::connection::Cause;

use crate::attempt::Failure;
use crate::backend::Backend;
use crate::codec::{Codec, Ids};
use crate::job::Job;
use crate::wait::STREAM_BUSY;

impl<C: Codec> Job<C> {
    /// A try failed: who is to blame, and what is known of the request now.
    pub fn blame(&mut self, backend: &Arc<Backend>, failure: Failure) {
        match backend.is_host {
            true => self.blame_host(backend, failure),
            false => self.blame_server(backend, failure),
        }
        log::info!(target: "route", request:% = self.ask.id, backend:% = backend.id,
            cause:? = failure, sent = self.tries.sent, digest:% = self.fingerprint().request,
            parts:% = Ids(self.ask.shared_parts()), left_ms = self.left().as_millis() as u64;
            "try failed");
    }

    /// Another host did not answer it.
    fn blame_host(&mut self, host: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        // The server that it was sent to there is not tried again.
        self.note_failed_at(self.tries.backend.clone());
        match failure {
            // An old connection was closed by the other end; a new one is tried.
            Failure::Unsent(Cause::Broken) if !self.tries.new_only => {
                self.tries.new_only = true;
                self.tries.tried.retain(|tried| *tried != host.id);
            }
            Failure::Unsent(_) => host.server.note_failure(now),
            // It is well, and may serve again at any time.
            Failure::NotRun { misdirected: true } => host.note_away(now),
            Failure::NotRun { misdirected: false } | Failure::Unwanted => {}
            Failure::Lost(cause) => {
                self.tries.may_have_run = true;
                self.tries.new_only = true;
                // An answer that breaks off there mostly did so at the server.
                if matches!(cause, Cause::Silent | Cause::Broken) {
                    host.server.note_failure(now);
                    self.tries.tried.push(host.id.clone());
                }
            }
        }
        // Nothing arrived at a server, so the repeat that was paid for is still to be made.
        let is_left = !self.tries.was_tried && self.tries.sent > 0;
        self.tries.paid.fetch_or(is_left, Ordering::Relaxed);
    }

    /// A backend server did not answer it.
    fn blame_server(&mut self, backend: &Arc<Backend>, failure: Failure) {
        let now = clock::steady();
        match failure {
            Failure::Unsent(cause) => {
                // Nothing arrived anywhere, so the repeat that was paid for is still to be made.
                self.tries.paid.fetch_or(self.tries.sent > 0, Ordering::Relaxed);
                match cause {
                    Cause::Refused | Cause::Unreachable => self.tries.refused += 1,
                    _ => self.tries.unsent += 1,
                }
                match cause {
                    Cause::Refused | Cause::Unreachable => {
                        if cause == Cause::Refused {
                            backend.note_ended(now);
                        }
                        backend.note_refused(now);
                        self.may_start_again(backend);
                        // Others were lost there if it has ended.
                        if !self.state.reach.is_isolated() {
                            self.state.look_soon(backend);
                        }
                    }
                    Cause::Silent => {
                        if backend.note_timeout(now) {
                            self.may_start_again(backend);
                        }
                        // A whole failure domain may be cut off. Trying its servers one after
                        // another would use up the request's time.
                        if !backend.near {
                            self.tries.unreachable.push(backend.server.failure_domain.clone());
                        }
                    }
                    // An old connection was closed by the other end; a new one is tried.
                    _ => self.tries.new_only = true,
                }
                if matches!(cause, Cause::Refused | Cause::Unreachable | Cause::Silent) {
                    self.tries.tried.push(backend.id.clone());
                }
            }
            Failure::Unwanted => {
                self.tries.paid.fetch_or(self.tries.sent > 0, Ordering::Relaxed);
                self.tries.tried.push(backend.id.clone());
            }
            Failure::NotRun { misdirected } => {
                self.tries.not_run += 1;
                self.note_failed_at(Some(backend.id.clone()));
                if let Some(per_second) = self.tolerance().filter(|_| !misdirected) {
                    backend.note_rejected(per_second, rand::random(), now);
                }
                if misdirected {
                    backend.note_refused(now);
                    self.state.poison.ended(&backend.id);
                }
            }
            Failure::Lost(cause) => {
                if cause == Cause::Broken {
                    self.state.reach.failed(backend);
                }
                self.note_broken(backend, cause);
                self.tries.may_have_run = true;
                self.tries.new_only = true;
                self.note_failed_at(Some(backend.id.clone()));
                if !self.left().is_zero() {
                    backend.note(true, now);
                    self.note_version(backend, None);
                }
                if failure == Failure::Lost(Cause::Silent) && self.timed(backend) {
                    let waited = self.route().objective_ms as f64 * STREAM_BUSY;
                    self.state.timings.with(self.timing(), |timing| {
                        timing.first.record_abandoned(waited, now);
                    });
                }
            }
        }
    }

    fn may_start_again(&self, backend: &Backend) {
        // A host that is cut off would have all others send less to servers that are well.
        if self.state.reach.is_isolated() {
            return;
        }
        let world = self.state.world.load();
        let service = world.index.services.get(&self.service);
        let Some(warmup) = service.and_then(|service| service.warmup) else { return };
        if let Some(restricted) = backend.may_start_again(warmup, clock::steady()) {
            // When too many wait the others find out for themselves.
            let _ = self.state.outbox.restrictions.try_send(restricted);
        }
    }
}
