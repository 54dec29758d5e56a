//! Passes a stream on to its caller as it comes, and goes on with it elsewhere if it breaks.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use entry::answer::{Answer, Broken};
use entry::clock;
use entry::connection::{Cause, Connection};
use entry::server::Lease;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::pace::Pace;
use policy::poison;
use policy::silence;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::attempt::{Failure, Reply};
use crate::backend::Backend;
use crate::codec::Codec;
use crate::end::{self, End, Passed};
use crate::events::Splitter;
use crate::evidence::Counted;
use crate::handle::Origin;
use crate::job::Job;
use crate::judge::is_framed;
use crate::recall::Forwarding;
use crate::resume::Obstacle;

/// Pieces on their way to a caller that reads slowly; then the backend server waits as well.
const AHEAD: usize = 16;

type Pieces = mpsc::Sender<Result<Bytes, Broken>>;

/// A stream that is coming.
pub struct Live {
    body: Incoming,
    splitter: Splitter,
    /// What came before the first event.
    comments: BytesMut,
    /// Events that have come and are not yet passed on.
    begun: Bytes,
    ended: bool,
    /// Its end can be distinguished from a connection that is lost.
    is_framed: bool,
    backend: Arc<Backend>,
    sent_at: Instant,
    passed: Passed,
    /// How soon its events follow one another, and when the last ones came.
    pace: Pace,
    came: Option<Instant>,
    /// Since when no event has come. Bytes that make none are as good as silence: a server in trouble may send them
    /// without end.
    quiet_since: Instant,
    /// As it was counted for a roll-out.
    counted: Option<Counted>,
    // Dropped with the stream: closes the connection, which stops the backend server's work.
    _connection: Connection,
    _lease: Lease,
    /// The other host that it comes by, if it does: recalled from there when dropped too soon.
    forwarding: Option<Forwarding>,
}

enum Piece {
    Events(Bytes),
    End,
}

impl Live {
    /// Reads up to the first whole event. Until then the caller has got nothing, and the request
    /// can still be answered otherwise.
    ///
    /// # Errors
    /// The stream broke before; the connection is closed by then.
    pub async fn begin<C: Codec>(
        job: &Job<C>,
        reply: Reply,
        last: Option<u64>,
    ) -> Result<Self, Failure> {
        let is_framed = is_framed(&reply);
        let Reply { body, connection, lease, backend, sent_at, forwarding, .. } = reply;
        let mut live = Self {
            body,
            splitter: Splitter::behind(last),
            comments: BytesMut::new(),
            begun: Bytes::new(),
            ended: false,
            is_framed,
            backend,
            sent_at,
            passed: Passed::default(),
            pace: Pace::default(),
            came: None,
            quiet_since: Instant::now(),
            counted: None,
            _connection: connection,
            _lease: lease,
            forwarding,
        };
        match live.next(job).await.map_err(Failure::Lost)? {
            Piece::Events(events) => live.begun = events,
            // A run that goes on behind the last event has nothing more to say.
            Piece::End if last.is_some() => live.ended = true,
            Piece::End => return Err(Failure::Lost(Cause::Truncated)),
        }
        Ok(live)
    }

    /// Whole events, or the end.
    async fn next<C: Codec>(&mut self, job: &Job<C>) -> Result<Piece, Cause> {
        loop {
            let framed = self.frame(job).await;
            if let (Ok(None) | Err(Cause::Truncated), Some(forwarding)) =
                (&framed, &mut self.forwarding)
            {
                forwarding.end();
            }
            let data = match framed? {
                None if self.splitter.is_empty() => return Ok(Piece::End),
                None => return Err(Cause::Truncated),
                Some(data) => data,
            };
            let (events, count) = self.splitter.feed(&data).map_err(|_| Cause::Broken)?;
            if count == 0 && self.passed.events == 0 {
                // Passed on, comments alone would make an answer that can't be had from another server any more.
                self.comments.extend_from_slice(&events);
                continue;
            }
            self.passed.events += count;
            if count > 0 {
                self.backend.heard(clock::steady());
                self.quiet_since = Instant::now();
            }
            let events = self.behind_comments(events);
            if !events.is_empty() {
                self.note_pace(job, count);
                return Ok(Piece::Events(events));
            }
        }
    }

    /// Events, with the comments that came before the first of them.
    fn behind_comments(&mut self, events: Bytes) -> Bytes {
        if self.comments.is_empty() {
            return events;
        }
        let mut all = std::mem::take(&mut self.comments);
        all.extend_from_slice(&events);
        all.freeze()
    }

    /// Events have come; counts the stream for a roll-out once its pace is known.
    fn note_pace<C: Codec>(&mut self, job: &Job<C>, events: u32) {
        let now = Instant::now();
        let Some(before) = self.came.replace(now) else { return };
        let ms = now.saturating_duration_since(before).as_secs_f64() * 1_000.0;
        if let Some(pace_ms) = self.pace.record(events, ms) {
            self.counted = job.note_pace(&self.backend, pace_ms);
        }
    }

    /// Events have been passed on.
    fn note_passed<C: Codec>(&mut self, job: &Job<C>) {
        self.passed.piece(Instant::now());
        if let (Some(registered), Some(last)) = (&job.registered, self.splitter.last()) {
            registered.note_passed(last);
        }
    }

    /// No more events come; its engine is judged by all that have.
    fn note_speed<C: Codec>(&self, job: &Job<C>) {
        if let Some(pace_ms) = self.pace.best_ms() {
            job.note_speed(&self.backend, pace_ms);
        }
    }

    /// The next bytes, none at a clean end.
    ///
    /// A silent stream is given up only for another run of it. Where there is none to be had, its
    /// backend server's answer is the only one that can still come.
    async fn frame<C: Codec>(&mut self, job: &Job<C>) -> Result<Option<Bytes>, Cause> {
        let route = job.route();
        let useful_ms = route.gap_ms.unwrap_or(route.objective_ms) as f64;
        let since = self.quiet_since;
        let until = tokio::time::Instant::from(job.until);
        let Self { body, backend, forwarding, splitter, .. } = self;
        let mut lost = std::pin::pin!(lost(forwarding.as_ref(), splitter.last()));
        let mut wait =
            backend.tolerates(&silence::BETWEEN_EVENTS, since.elapsed(), useful_ms).await;
        loop {
            let limit = until.min(tokio::time::Instant::now() + wait.unwrap_or_default());
            let framed = tokio::select! {
                framed = tokio::time::timeout_at(limit, body.frame()) => framed,
                () = lost.as_mut() => return Err(Cause::Silent),
            };
            match framed {
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(Cause::Truncated),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Ok(Some(data)),
                    // Trailers are not passed on.
                    Err(_) => continue,
                },
                Err(_) if limit >= until => return Err(Cause::Deadline),
                Err(_) => {}
            }
            let silent = since.elapsed();
            wait = match backend.tolerates(&silence::BETWEEN_EVENTS, silent, useful_ms).await {
                None if job.leave(backend) => return Err(Cause::Silent),
                None => Some(job.left()),
                still => still,
            };
        }
    }
}

/// Waits until what comes by another host is lost on its way; for ever if it doesn't.
async fn lost(forwarding: Option<&Forwarding>, last_event: Option<u64>) {
    match forwarding {
        Some(forwarding) => forwarding.lost(last_event).await,
        None => std::future::pending().await,
    }
}

/// Starts a relay; the answer is what the caller reads from it.
#[must_use]
pub fn start<C: Codec>(job: Job<C>, live: Box<Live>) -> Answer {
    let (pieces, answer) = mpsc::channel(AHEAD);
    let relays = job.state.relays.clone();
    relays.spawn(run(job, live, pieces));
    Answer::Pieces(answer)
}

/// Waits until nobody wants the answer any more: its caller has left, or the host that passed the request
/// on has taken it back.
async fn unwanted(pieces: &Pieces, recalled: &CancellationToken) {
    tokio::select! {
        () = pieces.closed() => {}
        () = recalled.cancelled() => {}
    }
}

async fn run<C: Codec>(job: Job<C>, live: Box<Live>, pieces: Pieces) {
    if !pass_all(job, live, &pieces).await {
        // The caller learns of it by a connection that closes before the stream's end.
        let _ = pieces.send(Err(Broken)).await;
    }
}

/// Passes all of a stream on; whether it came to its end.
async fn pass_all<C: Codec>(mut job: Job<C>, live: Box<Live>, pieces: &Pieces) -> bool {
    let mut live = live;
    let recalled = job.recalled();
    loop {
        let end = tokio::select! {
            // Also while nothing comes: the caller's leaving must stop the work at once.
            () = unwanted(pieces, &recalled) => Err(End::CallerGone),
            end = pass_on(&mut live, &job, pieces) => end,
        };
        let cause = match end {
            Ok(()) => {
                finish(&job, &live, End::Answered);
                return true;
            }
            Err(End::Broken(cause)) => cause,
            Err(end) => {
                finish(&job, &live, end);
                return false;
            }
        };
        live.note_speed(&job);
        let backend = Arc::clone(&live.backend);
        if let Some(counted) = live.counted.filter(|_| !job.left().is_zero()) {
            job.forget_pace(counted);
        }
        job.blame(&backend, Failure::Lost(cause));
        let last = live.splitter.last();
        let passed = live.passed;
        // Closes the old run's connection before another run begins.
        drop(live);
        let resumed = match last {
            Some(last) => tokio::select! {
                () = unwanted(pieces, &recalled) => {
                    end::log(&job, End::CallerGone, passed);
                    return false;
                }
                resumed = job.resume(last) => resumed,
            },
            None => Err(Obstacle::Kind),
        };
        match resumed {
            Ok(next) => {
                live = Box::new(next);
                // A pause that another run ends is a pause for the caller.
                let Passed { pause_ms, last, .. } = passed;
                live.passed = Passed { pause_ms, last, ..live.passed };
            }
            Err(obstacle) => {
                // The host that passed it on decides what follows.
                if job.origin == Origin::Caller {
                    end::log_stranded(&job, obstacle);
                }
                end::log(&job, End::Broken(cause), passed);
                return false;
            }
        }
    }
}

fn finish<C: Codec>(job: &Job<C>, live: &Live, end: End) {
    live.note_speed(job);
    if end == End::Answered {
        live.backend.note(false, clock::steady());
        job.note_answered(match live.is_framed {
            true => poison::Answer::Whole,
            false => poison::Answer::Unframed,
        });
        let ms = live.sent_at.elapsed().as_secs_f64() * 1_000.0;
        if !live.pace.is_judged() {
            job.note_version(&live.backend, Some(ms / f64::from(live.passed.events.max(1))));
        }
        if job.timed(&live.backend) {
            let now = clock::steady();
            job.state.timings.with(job.timing(), |timing| timing.whole.record(ms, now));
        }
    }
    if end == End::CallerGone {
        job.note_given_up(&live.backend);
    }
    end::log(job, end, live.passed);
}

async fn pass_on<C: Codec>(live: &mut Live, job: &Job<C>, pieces: &Pieces) -> Result<(), End> {
    let begun = std::mem::take(&mut live.begun);
    if !begun.is_empty() {
        send(pieces, begun, job).await?;
        live.note_passed(job);
    }
    while !live.ended {
        match live.next(job).await {
            Ok(Piece::Events(events)) => {
                send(pieces, events, job).await?;
                live.note_passed(job);
            }
            Ok(Piece::End) => live.ended = true,
            Err(cause) => return Err(End::Broken(cause)),
        }
    }
    Ok(())
}

async fn send<C: Codec>(pieces: &Pieces, data: Bytes, job: &Job<C>) -> Result<(), End> {
    match tokio::time::timeout_at(job.until.into(), pieces.send(Ok(data))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(End::CallerGone),
        Err(_) => Err(End::Broken(Cause::Deadline)),
    }
}
