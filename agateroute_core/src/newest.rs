//! Keeps the newest version of a value that several sources deliver in any order.

/// The newest version of a value; an older version never replaces it.
#[derive(Clone, Debug)]
pub struct Newest<K, T> {
    current: Option<(K, T)>,
}

impl<K, T> Default for Newest<K, T> {
    fn default() -> Newest<K, T> {
        Newest { current: None }
    }
}

impl<K: Copy + Ord, T> Newest<K, T> {
    /// Stores a value if its version is newer than the current one. Returns whether it was stored.
    pub fn offer(&mut self, version: K, value: T) -> bool {
        let newer = self.version().is_none_or(|held| held < version);
        if newer {
            self.current = Some((version, value));
        }
        newer
    }

    /// Returns the version of the current value, if there is one.
    pub fn version(&self) -> Option<K> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Returns the current value, if there is one.
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, value)| value)
    }
}
