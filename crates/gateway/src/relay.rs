//! Relays a stream to its caller as it comes, and resumes it at another backend server if it
//! breaks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use entry::answer::{Answer, Broken};
use entry::clock;
use entry::connection::{Cause, Connection};
use entry::server::Lease;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::pace::{Bounds, Pace};
use policy::poison;
use policy::silence;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::attempt::{Failure, Reply};
use crate::backend::Backend;
use crate::codec::Codec;
use crate::end::{self, End, RelayProgress};
use crate::events::EventSplitter;
use crate::evidence::{CountedAnswer, Watched};
use crate::handle::Origin;
use crate::holder::{Charge, Expired};
use crate::job::Job;
use crate::judge::is_framed;
use crate::moves::{Course, Outcome, Relocation};
use crate::recall::Forwarding;
use crate::resume::Obstacle;

/// Pieces queued for a caller that reads slowly. When the queue is full, the backend server has to
/// wait as well.
const PIECES_AHEAD_MAX: usize = 16;

/// Memory that a stream's connection to its backend server uses while it is read.
const SERVER_BUFFER_BYTES: usize = 8 << 10;
/// What is expected of a stream's first events.
const FIRST_EVENTS_BYTES: usize = 2 << 10;

/// Most bytes of comments before a stream's first event. A server that sends more is not about to
/// answer, and another one can.
const COMMENTS_BYTES_MAX: usize = 4 << 10;

/// How long a stream whose run was stopped for its move is read on. The events that the source sent
/// before are on the way already.
const STOPPED_STREAM_MAX: Duration = Duration::from_millis(100);

type Pieces = mpsc::Sender<Result<Bytes, Broken>>;

/// A stream that a backend server is sending.
pub struct LiveStream {
    body: Incoming,
    splitter: EventSplitter,
    /// Comments that came before the first event.
    comments: BytesMut,
    /// Events that were received and not yet passed on.
    unsent_events: Bytes,
    is_ended: bool,
    /// Whether the stream's end can be told from a lost connection.
    is_framed: bool,
    backend: Arc<Backend>,
    sent_at: Instant,
    progress: RelayProgress,
    /// How far the stream has come, for its move.
    course: Arc<Course>,
    /// How soon the stream's events follow one another.
    pace: Pace,
    /// When the last events came; `None` before the first ones.
    last_events_at: Option<Instant>,
    /// When an event last came. Bytes without events count as silence: a server in trouble may send
    /// them without end.
    quiet_since: Instant,
    /// Counts the buffer of the connection, and events that were not passed on yet.
    charge: Charge,
    /// Whether the stream's pace was judged.
    is_judged: bool,
    /// Counts the stream for a roll-out until its pace is judged.
    watched: Option<Watched>,
    /// How the stream was counted for a roll-out, if it was.
    counted: Option<CountedAnswer>,
    // Dropping the connection closes it, which stops the backend server's work.
    _connection: Connection,
    _lease: Lease,
    /// The request at the other host that the stream comes through, if any. Dropped before the
    /// stream is complete, it recalls the request.
    forwarding: Option<Forwarding>,
}

enum Piece {
    Events(Bytes),
    End,
}

impl LiveStream {
    /// Reads up to the first whole event. Until then the caller has received nothing, and the
    /// request can still be answered by another server.
    ///
    /// # Errors
    /// The stream broke before its first event. The connection is closed by then.
    pub async fn begin<C: Codec>(
        job: &Job<C>,
        reply: Reply,
        last: Option<u64>,
    ) -> Result<Self, Failure> {
        job.holder.begin_stream();
        let mut charge = job.holder.charge(0);
        let reserved = charge.reserve(0, SERVER_BUFFER_BYTES + FIRST_EVENTS_BYTES).await;
        reserved.map_err(|Expired| Failure::Lost(Cause::Deadline))?;
        let is_framed = is_framed(&reply);
        let Reply { body, connection, lease, backend, sent_at, forwarding, watched, .. } = reply;
        let mut live = Self {
            body,
            splitter: EventSplitter::resume_after(last),
            comments: BytesMut::new(),
            unsent_events: Bytes::new(),
            is_ended: false,
            is_framed,
            backend,
            sent_at,
            progress: RelayProgress::default(),
            course: Arc::default(),
            pace: Pace::default(),
            last_events_at: None,
            quiet_since: Instant::now(),
            charge,
            is_judged: false,
            watched,
            counted: None,
            _connection: connection,
            _lease: lease,
            forwarding,
        };
        if let Some(last) = last {
            live.course.record(last);
        }
        match live.next(job).await {
            Ok(Piece::Events(events)) => live.unsent_events = events,
            // A stream that is resumed after its last event has no more events.
            Ok(Piece::End) if last.is_some() => live.is_ended = true,
            Ok(Piece::End) => return Err(live.lose(job, Cause::Truncated)),
            Err(cause) => return Err(live.lose(job, cause)),
        }
        if let Some(watched) = &live.watched {
            job.extend_watch(&live.backend, watched);
        }
        live.charge.resize(live.held_bytes() + live.unsent_events.len());
        Ok(live)
    }

    /// Ends a stream that broke.
    fn lose<C: Codec>(&mut self, job: &Job<C>, cause: Cause) -> Failure {
        job.end_watch(self.watched.take(), Failure::Lost(cause));
        Failure::Lost(cause)
    }

    /// Passes events on. They stay counted until the caller has taken them.
    async fn send<C: Codec>(
        &mut self,
        pieces: &Pieces,
        events: Bytes,
        job: &Job<C>,
    ) -> Result<(), End> {
        let held = self.held_bytes();
        let events = self.charge.keep_piece(held, events);
        match tokio::time::timeout_at(job.deadline.into(), pieces.send(Ok(events))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::CallerGone),
            Err(_) => Err(End::Broken(Cause::Deadline)),
        }
    }

    /// Receives the next whole events, or the end of the stream.
    async fn next<C: Codec>(&mut self, job: &Job<C>) -> Result<Piece, Cause> {
        loop {
            let framed = self.next_data(job).await;
            if let (Ok(None) | Err(Cause::Truncated), Some(forwarding)) =
                (&framed, &mut self.forwarding)
            {
                forwarding.complete();
            }
            let data = match framed? {
                None if self.splitter.is_empty() => return Ok(Piece::End),
                None => return Err(Cause::Truncated),
                Some(data) => data,
            };
            let (events, count) = self.splitter.feed(&data).map_err(|_| Cause::Broken)?;
            if count == 0 && self.progress.events == 0 {
                // If comments alone were passed on, the answer would have begun, and no other
                // server could answer any more.
                self.comments.extend_from_slice(&events);
                if self.comments.len() > COMMENTS_BYTES_MAX {
                    return Err(Cause::Broken);
                }
                self.charge.cover(self.held_bytes());
                continue;
            }
            self.charge.cover(self.held_bytes());
            self.progress.events += count;
            if count > 0 {
                self.backend.record_contact(clock::steady());
                self.quiet_since = Instant::now();
            }
            let events = self.prepend_comments(events);
            if !events.is_empty() {
                self.record_pace(job, count);
                return Ok(Piece::Events(events));
            }
        }
    }

    /// Memory that the stream uses beside the events that are passed on.
    fn held_bytes(&self) -> usize {
        SERVER_BUFFER_BYTES + self.splitter.buffered_bytes() + self.comments.capacity()
    }

    /// Puts the comments that came before the first event in front of it.
    fn prepend_comments(&mut self, events: Bytes) -> Bytes {
        if self.comments.is_empty() {
            return events;
        }
        let mut all = std::mem::take(&mut self.comments);
        all.extend_from_slice(&events);
        all.freeze()
    }

    /// Records that events have come. Counts the stream for a roll-out once its pace is known.
    fn record_pace<C: Codec>(&mut self, job: &Job<C>, events: u32) {
        let now = Instant::now();
        let Some(before) = self.last_events_at.replace(now) else { return };
        let ms = now.saturating_duration_since(before).as_secs_f64() * 1_000.0;
        if let Some(bounds) = self.pace.record(events, ms) {
            self.judge_pace(job, bounds);
        }
    }

    /// Counts the stream if its pace is known and it has not been counted.
    fn judge_pace<C: Codec>(&mut self, job: &Job<C>, bounds: Bounds) {
        if self.is_judged {
            return;
        }
        if let Some(sign) = job.judge_pace(bounds) {
            self.is_judged = true;
            self.watched.take().into_iter().for_each(Watched::resolve);
            self.counted = job.record_pace(&self.backend, bounds, sign);
        }
    }

    /// Records that events have been passed on.
    fn record_passed_on<C: Codec>(&mut self, job: &Job<C>) {
        self.progress.record_piece(Instant::now());
        if let Some(last) = self.splitter.last_id() {
            self.course.record(last);
        }
        if let (Some(registered), Some(last)) = (&job.registration, self.splitter.last_id()) {
            registered.record_passed_on(last);
        }
    }

    /// Judges the engine by the stream's pace. Called when no more events come.
    fn record_engine_speed<C: Codec>(&self, job: &Job<C>) {
        if let Some(pace_ms) = self.pace.best_ms() {
            job.record_engine_speed(&self.backend, pace_ms);
        }
    }

    /// The next bytes; `None` at a clean end.
    ///
    /// A silent stream is given up only if it can be resumed elsewhere. Otherwise only this backend
    /// server can still complete the answer.
    async fn next_data<C: Codec>(&mut self, job: &Job<C>) -> Result<Option<Bytes>, Cause> {
        let route = job.route();
        let useful_ms = route.gap_ms.unwrap_or(route.objective_ms) as f64;
        let since = self.quiet_since;
        let until = tokio::time::Instant::from(job.deadline);
        let Self { body, backend, forwarding, splitter, .. } = self;
        let mut lost = std::pin::pin!(wait_until_lost(forwarding.as_ref(), splitter.last_id()));
        let bounds = match job.has_copy() {
            true => silence::BETWEEN_EVENTS_WITH_COPY,
            false => silence::BETWEEN_EVENTS,
        };
        let mut wait = backend.tolerated_silence(&bounds, since.elapsed(), useful_ms).await;
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
            wait = match backend.tolerated_silence(&bounds, silent, useful_ms).await {
                None if job.claim_leave(backend) => return Err(Cause::Silent),
                None => Some(job.time_left()),
                still => still,
            };
        }
    }
}

/// Waits until what comes through another host is lost on its way; for ever for a stream without
/// such a host.
async fn wait_until_lost(forwarding: Option<&Forwarding>, last_event: Option<u64>) {
    match forwarding {
        Some(forwarding) => forwarding.wait_until_lost(last_event).await,
        None => std::future::pending().await,
    }
}

/// Starts a relay, and returns the answer from which the caller reads.
#[must_use]
pub fn start<C: Codec>(job: Job<C>, live: Box<LiveStream>) -> Answer {
    let (pieces, answer) = mpsc::channel(PIECES_AHEAD_MAX);
    let relays = job.state.relays.clone();
    relays.spawn(run(job, live, pieces));
    Answer::Pieces(answer)
}

/// Waits until the answer is no longer wanted: its caller has closed the connection, or the host
/// that passed the request on has recalled it.
async fn wait_until_unwanted(pieces: &Pieces, recalled: &CancellationToken) {
    tokio::select! {
        () = pieces.closed() => {}
        () = recalled.cancelled() => {}
    }
}

async fn run<C: Codec>(job: Job<C>, live: Box<LiveStream>, pieces: Pieces) {
    if !pass_all(job, live, &pieces).await {
        // The caller sees that the connection closes before the stream's end.
        let _ = pieces.send(Err(Broken)).await;
    }
}

/// Relays a whole stream, and returns whether it came to its end.
async fn pass_all<C: Codec>(mut job: Job<C>, live: Box<LiveStream>, pieces: &Pieces) -> bool {
    let mut live = live;
    let recalled = job.recalled();
    loop {
        job.publish_copies();
        let (end, outcome) = tokio::select! {
            // Also watched while no events come: a caller that leaves must stop the work at once.
            () = wait_until_unwanted(pieces, &recalled) => (Err(End::CallerGone), Outcome::Stays),
            end = pass_on_or_move(&mut live, &job, pieces) => end,
        };
        let cause = match end {
            Ok(()) => {
                finish(&job, &mut live, End::Answered);
                return true;
            }
            Err(End::Broken(cause)) => cause,
            Err(end) => {
                finish(&job, &mut live, end);
                return false;
            }
        };
        live.record_engine_speed(&job);
        match &outcome {
            // The source ended the stream because it was asked to.
            Outcome::Stopped(stopped) => {
                stopped.offer(&mut job);
                job.publish_copies();
            }
            Outcome::Unknown => {}
            Outcome::Stays => {
                let backend = Arc::clone(&live.backend);
                match (live.counted, job.time_left().is_zero()) {
                    (Some(counted), true) => job.record_late(counted),
                    (Some(counted), false) => job.retract_pace(counted),
                    (None, _) => {}
                }
                let failure = live.lose(&job, cause);
                job.blame(&backend, failure);
            }
        }
        let last = match outcome {
            // Events may have come that the caller was too slow to take.
            Outcome::Stopped(_) => live.course.last(),
            _ => live.splitter.last_id(),
        };
        let progress = live.progress;
        // Closes the connection of the broken run before another run begins.
        drop(live);
        let resumed = match last {
            Some(last) => tokio::select! {
                () = wait_until_unwanted(pieces, &recalled) => {
                    end::log(&job, End::CallerGone, progress);
                    return false;
                }
                resumed = job.resume(last) => resumed,
            },
            None => Err(Obstacle::Kind),
        };
        if let Outcome::Stopped(stopped) = outcome {
            let pause = progress.last_at.map(|at| at.elapsed()).unwrap_or_default();
            stopped.end(&mut job, resumed.is_ok(), pause);
        }
        match resumed {
            Ok(next) => {
                live = Box::new(next);
                // The caller experiences one pause, even if another run ends it.
                let RelayProgress { pause_ms, last_at, .. } = progress;
                live.progress = RelayProgress { pause_ms, last_at, ..live.progress };
            }
            Err(obstacle) => {
                // The host that passed the request on decides what follows.
                if job.origin == Origin::Caller {
                    end::log_stranded(&job, obstacle);
                }
                end::log(&job, End::Broken(cause), progress);
                return false;
            }
        }
    }
}

fn finish<C: Codec>(job: &Job<C>, live: &mut LiveStream, end: End) {
    live.record_engine_speed(job);
    if end == End::Answered {
        live.backend.record_outcome(false, clock::steady());
        job.record_answered(match live.is_framed {
            true => poison::Answer::Whole,
            false => poison::Answer::Unframed,
        });
        let ms = live.sent_at.elapsed().as_secs_f64() * 1_000.0;
        match live.pace.bounds() {
            Some(bounds) => live.judge_pace(job, Bounds { is_final: true, ..bounds }),
            None => {
                live.watched.take().into_iter().for_each(Watched::resolve);
                let ms = ms / f64::from(live.progress.events.max(1));
                job.record_for_rollout(&live.backend, Some(ms));
            }
        }
        if job.is_timed(&live.backend) {
            let now = clock::steady();
            job.state.timings.with(job.timing_key(), |timing| timing.whole.record(ms, now));
        }
    }
    if end == End::CallerGone {
        job.record_abandoned(&live.backend);
    }
    end::log(job, end, live.progress);
}

/// Passes on a stream up to its end. If its engine leaves, the stream is moved meanwhile. Returns
/// the end, and if the stream is not whole, what its move had to do with that.
async fn pass_on_or_move<C: Codec>(
    live: &mut LiveStream,
    job: &Job<C>,
    pieces: &Pieces,
) -> (Result<(), End>, Outcome) {
    let Some(relocation) = Relocation::new(job, &live.backend, &live.course) else {
        return (pass_on(live, job, pieces).await, Outcome::Stays);
    };
    let is_framed = live.is_framed;
    let is_whole = |end: &Result<(), End>| end.is_ok() && is_framed;
    let mut moving = std::pin::pin!(relocation.run());
    let mut passing = std::pin::pin!(pass_on(live, job, pieces));
    let (end, outcome) = tokio::select! {
        biased;
        end = passing.as_mut() => {
            // The last copy may have ended the stream. Its answer is still to come.
            let is_stopped = !is_whole(&end) && end != Err(End::CallerGone);
            let is_stopped = is_stopped && relocation.is_stopping();
            relocation.end_tries();
            (end, if is_stopped { moving.await } else { Outcome::Stays })
        }
        outcome = moving.as_mut() => {
            let end = match &outcome {
                Outcome::Stopped(_) => {
                    let read = tokio::time::timeout(STOPPED_STREAM_MAX, passing).await;
                    read.unwrap_or(Err(End::Broken(Cause::Silent)))
                }
                Outcome::Stays | Outcome::Unknown => passing.await,
            };
            (end, outcome)
        }
    };
    match (end, &outcome) {
        // A stream whose end can't be told from a lost connection seems whole when it is stopped.
        (Ok(()), Outcome::Stopped(_) | Outcome::Unknown) if !is_framed => {
            (Err(End::Broken(Cause::Truncated)), outcome)
        }
        (end, _) => (end, outcome),
    }
}

async fn pass_on<C: Codec>(
    live: &mut LiveStream,
    job: &Job<C>,
    pieces: &Pieces,
) -> Result<(), End> {
    let unsent_events = std::mem::take(&mut live.unsent_events);
    if !unsent_events.is_empty() {
        live.send(pieces, unsent_events, job).await?;
        live.record_passed_on(job);
    }
    // What comes next is assumed to be as long as what came last.
    let mut next = 0;
    while !live.is_ended {
        let held = live.held_bytes();
        match live.charge.reserve(held, next).await {
            Ok(false) => {}
            // The server was not silent meanwhile, it was not read.
            Ok(true) => live.quiet_since = Instant::now(),
            Err(Expired) => return Err(End::Broken(Cause::Deadline)),
        }
        match live.next(job).await {
            Ok(Piece::Events(events)) => {
                next = events.len();
                live.send(pieces, events, job).await?;
                live.record_passed_on(job);
            }
            Ok(Piece::End) => live.is_ended = true,
            Err(cause) => return Err(End::Broken(cause)),
        }
    }
    Ok(())
}
