//! Work that this host has asked for at a backend server: prompts, transfers and backups. Each counts
//! until its guard is dropped.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use policy::backlog::Prompt;
use policy::time::Millis;

use super::Backend;

/// A prompt that was sent and whose answer has not begun. Dropped before that, the prompt no longer
/// counts as waiting.
pub struct PendingAnswer {
    backend: Arc<Backend>,
    number: u64,
}

impl PendingAnswer {
    /// Records that the answer has begun.
    pub fn begin(self, now: Millis) {
        self.backend.lock().backlog.record_answer_start(self.number, now);
    }
}

/// A transfer from a server that this host has asked for, until it is dropped.
pub struct OpenTransfer(Arc<Backend>);

impl Drop for OpenTransfer {
    fn drop(&mut self) {
        self.0.transfers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A backup that this host has asked for at a server, until it is dropped.
pub struct OpenBackup {
    target: Arc<Backend>,
    tokens: u64,
}

impl OpenBackup {
    /// The server that keeps the backup.
    #[must_use]
    pub fn target(&self) -> &Arc<Backend> {
        &self.target
    }
}

impl Drop for OpenBackup {
    fn drop(&mut self) {
        self.target.backup_tokens.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.backend.lock().backlog.remove(self.number);
    }
}

impl Backend {
    /// Records that a prompt was sent to the server, which will be busy reading it. The prompt
    /// counts as waiting until the returned guard is dropped or told that the answer has begun.
    #[must_use]
    pub fn record_sent(self: &Arc<Self>, prompt: Prompt, now: Millis) -> PendingAnswer {
        let number = self.lock().backlog.add_own(prompt, now);
        PendingAnswer { backend: Arc::clone(self), number }
    }

    /// Counts a transfer from this server until the returned guard is dropped.
    #[must_use]
    pub fn open_transfer(self: &Arc<Self>) -> OpenTransfer {
        self.transfers.fetch_add(1, Ordering::Relaxed);
        OpenTransfer(Arc::clone(self))
    }

    /// Transfers from the server that this host has asked for and that have not ended.
    #[must_use]
    pub fn transfers(&self) -> u32 {
        self.transfers.load(Ordering::Relaxed)
    }

    /// Counts a backup at this server until the returned guard is dropped.
    #[must_use]
    pub fn open_backup(self: &Arc<Self>, tokens: u32) -> OpenBackup {
        let tokens = u64::from(tokens);
        self.backup_tokens.fetch_add(tokens, Ordering::Relaxed);
        OpenBackup { target: Arc::clone(self), tokens }
    }

    /// Tokens of the backups that this host has asked for at the server and that may exist.
    #[must_use]
    pub fn backup_tokens(&self) -> u64 {
        self.backup_tokens.load(Ordering::Relaxed)
    }
}
