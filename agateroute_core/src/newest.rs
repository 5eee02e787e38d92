//! Keeps the newest version of a value that several sources deliver in any order.

/// The newest version of a value; an older version never replaces it.
#[derive(Clone, Debug)]
pub struct Newest<T> {
    current: Option<(u64, T)>,
}

impl<T> Default for Newest<T> {
    fn default() -> Newest<T> {
        Newest { current: None }
    }
}

impl<T> Newest<T> {
    /// Stores a value if its version is newer than the current one. Returns whether it was stored.
    pub fn offer(&mut self, version: u64, value: T) -> bool {
        let newer = self.version().is_none_or(|held| held < version);
        if newer {
            self.current = Some((version, value));
        }
        newer
    }

    /// Returns the version of the current value, if there is one.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Returns the current value, if there is one.
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, value)| value)
    }
}
