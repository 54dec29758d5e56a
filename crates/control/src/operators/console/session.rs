//! Sessions of signed-in operators: in memory, so a restarted control asks for the token again.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::time::Millis;

/// The cookie's name.
pub const COOKIE: &str = "chestnutspur-console";
/// A session ends after this time.
const SESSION_MS: u64 = 8 * 3_600_000;
/// Sessions at a time; past it the oldest ends.
const SESSIONS_MAX: usize = 100;

/// One session.
#[derive(Clone)]
pub struct Session {
    /// Its random id, the cookie's value.
    pub id: String,
    /// In each form, so that a form made elsewhere is known.
    pub csrf: String,
    opened: Millis,
}

impl Session {
    /// Whether a form's token is this session's.
    #[must_use]
    pub fn owns(&self, csrf: &str) -> bool {
        // Of equal length and random: how long the comparison takes tells nothing worth knowing
        // within a session's life, but hashing first costs nothing either.
        super::token::hash(csrf) == super::token::hash(&self.csrf)
    }
}

/// All sessions.
#[derive(Default)]
pub struct Sessions {
    open: Mutex<BTreeMap<String, Session>>,
}

impl Sessions {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Session>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens one; gives its id.
    pub fn open(&self, now: Millis) -> String {
        let (id, csrf) = (random(), random());
        let mut open = self.lock();
        open.retain(|_, session| now.since(session.opened) < SESSION_MS);
        if open.len() >= SESSIONS_MAX {
            let oldest = open.values().min_by_key(|session| session.opened);
            if let Some(id) = oldest.map(|session| session.id.clone()) {
                open.remove(&id);
            }
        }
        open.insert(id.clone(), Session { id: id.clone(), csrf, opened: now });
        id
    }

    /// The session of an id, if it has not ended.
    #[must_use]
    pub fn find(&self, id: &str, now: Millis) -> Option<Session> {
        let open = self.lock();
        open.get(id).filter(|session| now.since(session.opened) < SESSION_MS).cloned()
    }

    /// Ends one.
    pub fn close(&self, id: &str) {
        self.lock().remove(id);
    }
}

fn random() -> String {
    format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>())
}
