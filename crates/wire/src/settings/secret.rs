//! Loads the secrets that settings refer to.

use super::Secret;

/// Shortest accepted shared key, in bytes.
pub const KEY_BYTES_MIN: usize = 16;

impl Secret {
    /// Reads the secret's bytes, without surrounding white space.
    ///
    /// # Errors
    /// When the secret can't be read or is too short. The message never holds the secret.
    pub fn load(&self) -> Result<Vec<u8>, String> {
        let text = match self {
            Self::File(path) => {
                std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?
            }
            Self::Env(name) => std::env::var(name).map_err(|e| format!("{name}: {e}"))?,
            Self::Text(text) => text.clone(),
        };
        match text.trim() {
            key if key.len() < KEY_BYTES_MIN => {
                Err(format!("must hold at least {KEY_BYTES_MIN} bytes"))
            }
            key => Ok(key.as_bytes().to_vec()),
        }
    }
}
