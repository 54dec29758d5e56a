//! Keeps the snapshot up to date: a long poll to one control, another when that one fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wire::configuration::check;
use wire::view::{View, ViewRequest};

use crate::snapshot::Snapshot;
use crate::state::State;

/// How long control may hold the question back when nothing changes.
const WAIT: Duration = Duration::from_secs(3);
/// How much longer than that its answer may take.
const GRACE: Duration = Duration::from_secs(1);
/// Pause after a failed question.
const PAUSE: Duration = Duration::from_millis(200);
/// A control of another failure domain is left for the first one after this long.
const RETURN: Duration = Duration::from_secs(5);

/// Runs until the process ends.
pub async fn run(state: Arc<State>) {
    let mut feed = Feed { index: 0, ask: fresh_ask(&state), since: Instant::now() };
    loop {
        feed.step(&state).await;
    }
}

struct Feed {
    index: usize,
    ask: ViewRequest,
    since: Instant,
}

fn fresh_ask(state: &State) -> ViewRequest {
    ViewRequest { entry: state.settings.name.clone(), ..ViewRequest::default() }
}

impl Feed {
    async fn step(&mut self, state: &State) {
        // A control that is asked for the first time has something new, so it answers at once;
        // one that is out of reach must not hold up the next.
        let wait = if self.ask.revision == 0 { Duration::ZERO } else { WAIT };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or_default();
        let ask = ViewRequest { wait_ms, ..self.ask.clone() };
        let call = |client: wire::rpc::ControlClient, context| async move {
            client.view(context, ask).await
        };
        match state.controls.ask_one(self.index, wait + GRACE, call).await {
            Ok(view) => self.take(state, view).await,
            Err(error) => {
                log::warn!("entry: control {} gave no view: {error}", self.index);
                self.turn_to(state, (self.index + 1) % state.controls.len().max(1)).await;
            }
        }
        if self.index != 0 && self.since.elapsed() > RETURN {
            self.turn_to(state, 0).await;
        }
    }

    async fn turn_to(&mut self, state: &State, index: usize) {
        self.index = index;
        self.ask = fresh_ask(state);
        self.since = Instant::now();
        tokio::time::sleep(PAUSE).await;
    }

    async fn take(&mut self, state: &State, view: View) {
        match adopt(&state.snapshot.load(), &view) {
            Some(next) => {
                self.ask.incarnation = view.incarnation;
                self.ask.revision = view.revision;
                state.snapshot.store(Arc::new(next));
                state.controls.prefer(self.index);
            }
            None => self.turn_to(state, (self.index + 1) % state.controls.len().max(1)).await,
        }
    }
}

/// The snapshot that a view leads to; none if it must not be adopted.
///
/// A control that restarted or was cut off may be behind: taking its lower generation would put
/// a withdrawn version back to work. Within one generation quarantines only grow, so one that
/// this control has not heard of yet stays.
#[must_use]
pub fn adopt(held: &Snapshot, view: &View) -> Option<Snapshot> {
    if view.generation < held.document.generation {
        log::warn!("entry: a control is still on generation {}", view.generation);
        return None;
    }
    let document = match view.document.as_str() {
        _ if view.generation == held.document.generation => None,
        "" => return None,
        text => match check::parse_accepted(text) {
            Ok(document) => Some(document),
            Err(fault) => {
                log::error!("entry: document of generation {}: {fault}", view.generation);
                return None;
            }
        },
    };
    let mut next = Snapshot::next(held, view, document);
    if view.generation == held.document.generation {
        next.quarantined.extend(held.quarantined.iter().cloned());
    }
    Some(next)
}
