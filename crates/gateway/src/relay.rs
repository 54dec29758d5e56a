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
use crate::end::{self, End, RelayProgress};
use crate::events::EventSplitter;
use crate::evidence::CountedAnswer;
use crate::handle::Origin;
use crate::job::Job;
use crate::judge::is_framed;
use crate::recall::Forwarding;
use crate::resume::Obstacle;

/// Pieces on their way to a caller that reads slowly; then the backend server waits as well.
const PIECES_AHEAD_MAX: usize = 16;

type Pieces = mpsc::Sender<Result<Bytes, Broken>>;

/// A stream that is coming.
pub struct LiveStream {
    body: Incoming,
    splitter: EventSplitter,
    /// What came before the first event.
    comments: BytesMut,
    /// Events that have come and are not yet passed on.
    unsent_events: Bytes,
    is_ended: bool,
    /// Its end can be distinguished from a connection that is lost.
    is_framed: bool,
    backend: Arc<Backend>,
    sent_at: Instant,
    progress: RelayProgress,
    /// How soon its events follow one another, and when the last ones came.
    pace: Pace,
    last_events_at: Option<Instant>,
    /// Since when no event has come. Bytes that make none are as good as silence: a server in trouble may send them
    /// without end.
    quiet_since: Instant,
    /// As it was counted for a roll-out.
    counted: Option<CountedAnswer>,
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

impl LiveStream {
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
            splitter: EventSplitter::resume_after(last),
            comments: BytesMut::new(),
            unsent_events: Bytes::new(),
            is_ended: false,
            is_framed,
            backend,
            sent_at,
            progress: RelayProgress::default(),
            pace: Pace::default(),
            last_events_at: None,
            quiet_since: Instant::now(),
            counted: None,
            _connection: connection,
            _lease: lease,
            forwarding,
        };
        match live.next(job).await.map_err(Failure::Lost)? {
            Piece::Events(events) => live.unsent_events = events,
            // A run that goes on behind the last event has nothing more to say.
            Piece::End if last.is_some() => live.is_ended = true,
            Piece::End => return Err(Failure::Lost(Cause::Truncated)),
        }
        Ok(live)
    }

    /// Whole events, or the end.
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
                // Passed on, comments alone would make an answer that can't be had from another server any more.
                self.comments.extend_from_slice(&events);
                continue;
            }
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

    /// Events, with the comments that came before the first of them.
    fn prepend_comments(&mut self, events: Bytes) -> Bytes {
        if self.comments.is_empty() {
            return events;
        }
        let mut all = std::mem::take(&mut self.comments);
        all.extend_from_slice(&events);
        all.freeze()
    }

    /// Events have come; counts the stream for a roll-out once its pace is known.
    fn record_pace<C: Codec>(&mut self, job: &Job<C>, events: u32) {
        let now = Instant::now();
        let Some(before) = self.last_events_at.replace(now) else { return };
        let ms = now.saturating_duration_since(before).as_secs_f64() * 1_000.0;
        if let Some(pace_ms) = self.pace.note(events, ms) {
            self.counted = job.record_pace(&self.backend, pace_ms);
        }
    }

    /// Events have been passed on.
    fn record_passed_on<C: Codec>(&mut self, job: &Job<C>) {
        self.progress.record_piece(Instant::now());
        if let (Some(registered), Some(last)) = (&job.registration, self.splitter.last_id()) {
            registered.record_passed_on(last);
        }
    }

    /// No more events come; its engine is judged by all that have.
    fn record_engine_speed<C: Codec>(&self, job: &Job<C>) {
        if let Some(pace_ms) = self.pace.best_ms() {
            job.record_engine_speed(&self.backend, pace_ms);
        }
    }

    /// The next bytes, none at a clean end.
    ///
    /// A silent stream is given up only for another run of it. Where there is none to be had, its
    /// backend server's answer is the only one that can still come.
    async fn next_data<C: Codec>(&mut self, job: &Job<C>) -> Result<Option<Bytes>, Cause> {
        let route = job.route();
        let useful_ms = route.gap_ms.unwrap_or(route.objective_ms) as f64;
        let since = self.quiet_since;
        let until = tokio::time::Instant::from(job.deadline);
        let Self { body, backend, forwarding, splitter, .. } = self;
        let mut lost = std::pin::pin!(wait_until_lost(forwarding.as_ref(), splitter.last_id()));
        let mut wait =
            backend.tolerated_silence(&silence::BETWEEN, since.elapsed(), useful_ms).await;
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
            wait = match backend.tolerated_silence(&silence::BETWEEN, silent, useful_ms).await {
                None if job.claim_leave(backend) => return Err(Cause::Silent),
                None => Some(job.time_left()),
                still => still,
            };
        }
    }
}

/// Waits until what comes by another host is lost on its way; for ever if it doesn't.
async fn wait_until_lost(forwarding: Option<&Forwarding>, last_event: Option<u64>) {
    match forwarding {
        Some(forwarding) => forwarding.wait_until_lost(last_event).await,
        None => std::future::pending().await,
    }
}

/// Starts a relay; the answer is what the caller reads from it.
#[must_use]
pub fn start<C: Codec>(job: Job<C>, live: Box<LiveStream>) -> Answer {
    let (pieces, answer) = mpsc::channel(PIECES_AHEAD_MAX);
    let relays = job.state.relays.clone();
    relays.spawn(run(job, live, pieces));
    Answer::Pieces(answer)
}

/// Waits until nobody wants the answer any more: its caller has left, or the host that passed the request
/// on has taken it back.
async fn wait_until_unwanted(pieces: &Pieces, recalled: &CancellationToken) {
    tokio::select! {
        () = pieces.closed() => {}
        () = recalled.cancelled() => {}
    }
}

async fn run<C: Codec>(job: Job<C>, live: Box<LiveStream>, pieces: Pieces) {
    if !pass_all(job, live, &pieces).await {
        // The caller learns of it by a connection that closes before the stream's end.
        let _ = pieces.send(Err(Broken)).await;
    }
}

/// Passes all of a stream on; whether it came to its end.
async fn pass_all<C: Codec>(mut job: Job<C>, live: Box<LiveStream>, pieces: &Pieces) -> bool {
    let mut live = live;
    let recalled = job.recalled();
    loop {
        let end = tokio::select! {
            // Also while nothing comes: the caller's leaving must stop the work at once.
            () = wait_until_unwanted(pieces, &recalled) => Err(End::CallerGone),
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
        live.record_engine_speed(&job);
        let backend = Arc::clone(&live.backend);
        if let Some(counted) = live.counted.filter(|_| !job.time_left().is_zero()) {
            job.retract_pace(counted);
        }
        job.blame(&backend, Failure::Lost(cause));
        let last = live.splitter.last_id();
        let progress = live.progress;
        // Closes the old run's connection before another run begins.
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
        match resumed {
            Ok(next) => {
                live = Box::new(next);
                // A pause that another run ends is a pause for the caller.
                let RelayProgress { pause_ms, last_at, .. } = progress;
                live.progress = RelayProgress { pause_ms, last_at, ..live.progress };
            }
            Err(obstacle) => {
                // The host that passed it on decides what follows.
                if job.origin == Origin::Caller {
                    end::log_stranded(&job, obstacle);
                }
                end::log(&job, End::Broken(cause), progress);
                return false;
            }
        }
    }
}

fn finish<C: Codec>(job: &Job<C>, live: &LiveStream, end: End) {
    live.record_engine_speed(job);
    if end == End::Answered {
        live.backend.record_outcome(false, clock::steady());
        job.record_answered(match live.is_framed {
            true => poison::Answer::Whole,
            false => poison::Answer::Unframed,
        });
        let ms = live.sent_at.elapsed().as_secs_f64() * 1_000.0;
        if !live.pace.is_known() {
            job.record_for_rollout(
                &live.backend,
                Some(ms / f64::from(live.progress.events.max(1))),
            );
        }
        if job.is_timed(&live.backend) {
            let now = clock::steady();
            job.state.timings.with(job.timing_key(), |timing| timing.whole.note(ms, now));
        }
    }
    if end == End::CallerGone {
        job.record_abandoned(&live.backend);
    }
    end::log(job, end, live.progress);
}

async fn pass_on<C: Codec>(
    live: &mut LiveStream,
    job: &Job<C>,
    pieces: &Pieces,
) -> Result<(), End> {
    let unsent_events = std::mem::take(&mut live.unsent_events);
    if !unsent_events.is_empty() {
        send(pieces, unsent_events, job).await?;
        live.record_passed_on(job);
    }
    while !live.is_ended {
        match live.next(job).await {
            Ok(Piece::Events(events)) => {
                send(pieces, events, job).await?;
                live.record_passed_on(job);
            }
            Ok(Piece::End) => live.is_ended = true,
            Err(cause) => return Err(End::Broken(cause)),
        }
    }
    Ok(())
}

async fn send<C: Codec>(pieces: &Pieces, data: Bytes, job: &Job<C>) -> Result<(), End> {
    match tokio::time::timeout_at(job.deadline.into(), pieces.send(Ok(data))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(End::CallerGone),
        Err(_) => Err(End::Broken(Cause::Deadline)),
    }
}
