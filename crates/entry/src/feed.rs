//! Keeps the snapshot up to date by long polls to one control, and fails over to the next control
//! when a poll fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wire::configuration::check;
use wire::view::{View, ViewRequest};

use crate::snapshot::Snapshot;
use crate::state::State;

/// Longest time that a control may hold back its answer to a poll while nothing changes.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Time that a poll may take beyond the wait it asks for, before it counts as failed.
const POLL_GRACE: Duration = Duration::from_secs(1);
/// Delay before the first poll to another control.
const SWITCH_DELAY: Duration = Duration::from_millis(200);
/// Time after which the feed returns from another control to the first one, which is of the own
/// failure domain if that has any.
const FAIL_BACK_AFTER: Duration = Duration::from_secs(5);

/// Polls for views and stores their snapshots until the process ends.
pub async fn run(state: Arc<State>) {
    let mut feed = Feed { index: 0, request: first_request(&state), switched_at: Instant::now() };
    loop {
        feed.poll(&state).await;
    }
}

struct Feed {
    index: usize,
    request: ViewRequest,
    switched_at: Instant,
}

fn first_request(state: &State) -> ViewRequest {
    ViewRequest { entry: state.settings.name.clone(), ..ViewRequest::default() }
}

impl Feed {
    async fn poll(&mut self, state: &State) {
        // The first poll to a control asks for no wait, since the control has a view to give. This
        // keeps its timeout short: a control that is unreachable must not delay the next one.
        let wait = if self.request.revision == 0 { Duration::ZERO } else { POLL_WAIT };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or_default();
        let request = ViewRequest { wait_ms, ..self.request.clone() };
        let call = |client: wire::rpc::ControlClient, context| async move {
            client.view(context, request).await
        };
        match state.controls.ask_one(self.index, wait + POLL_GRACE, call).await {
            Ok(view) => self.apply(state, view).await,
            Err(error) => {
                log::warn!(
                    "entry: control {} sent no view: {error}; switching to the next",
                    self.index
                );
                self.switch_to(state, (self.index + 1) % state.controls.len().max(1)).await;
            }
        }
        if self.index != 0 && self.switched_at.elapsed() > FAIL_BACK_AFTER {
            self.switch_to(state, 0).await;
        }
    }

    async fn switch_to(&mut self, state: &State, index: usize) {
        self.index = index;
        self.request = first_request(state);
        self.switched_at = Instant::now();
        tokio::time::sleep(SWITCH_DELAY).await;
    }

    async fn apply(&mut self, state: &State, view: View) {
        match next_snapshot(&state.snapshot.load(), &view) {
            Some(next) => {
                self.request.incarnation = view.incarnation;
                self.request.revision = view.revision;
                state.snapshot.store(Arc::new(next));
                state.controls.prefer(self.index);
            }
            None => self.switch_to(state, (self.index + 1) % state.controls.len().max(1)).await,
        }
    }
}

/// The snapshot that follows `previous` under a new view; none if the view must be ignored.
///
/// A control that restarted or was partitioned may have a lower generation, which would bring a
/// withdrawn version back into use. Within one generation quarantines only grow, so a quarantine
/// that this control has not received yet stays.
#[must_use]
pub fn next_snapshot(previous: &Snapshot, view: &View) -> Option<Snapshot> {
    if view.generation < previous.document.generation {
        log::warn!(
            "entry: ignored a view of generation {}, which is older than the one in force",
            view.generation
        );
        return None;
    }
    let document = match view.document.as_str() {
        _ if view.generation == previous.document.generation => None,
        "" => return None,
        text => match check::parse_accepted(text) {
            Ok(document) => Some(document),
            Err(fault) => {
                log::error!("entry: invalid document of generation {}: {fault}", view.generation);
                return None;
            }
        },
    };
    let mut next = Snapshot::next(previous, view, document);
    if view.generation == previous.document.generation {
        next.quarantined.extend(previous.quarantined.iter().cloned());
    }
    Some(next)
}
