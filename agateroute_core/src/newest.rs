//! The newest version of something that is told in any order, by several sources.

/// The newest version that was told. An older one never takes its place.
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
    /// Takes over a version, unless one at least as new is held. Returns whether it did.
    pub fn offer(&mut self, version: u64, value: T) -> bool {
        let newer = self.version().is_none_or(|held| held < version);
        if newer {
            self.current = Some((version, value));
        }
        newer
    }

    /// The version that is held.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// What is held.
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, value)| value)
    }
}
