//! An ordered map for small numbers of entries.

/// A map in a vector sorted by key. It is compact, and its iteration order is defined, which keeps
/// the reducer deterministic.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Table<K, V> {
        Table { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// The number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find(&self, key: &K) -> Result<usize, usize> {
        self.rows.binary_search_by(|(k, _)| k.cmp(key))
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.find(key).ok()?;
        Some(&self.rows[index].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.find(key).ok()?;
        Some(&mut self.rows[index].1)
    }

    /// Whether a key has a value.
    pub fn contains(&self, key: &K) -> bool {
        self.find(key).is_ok()
    }

    /// Sets the value of a key. Returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of a key. If it is missing, inserts the result of `create` first.
    pub fn entry(&mut self, key: K, create: impl FnOnce() -> V) -> &mut V {
        let index = match self.find(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, create()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Removes a key. Returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.find(key).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Removes the rows for which the predicate returns false.
    pub fn retain(&mut self, mut predicate: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(k, v)| predicate(k, v));
    }

    /// Iterates over the rows, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.rows.iter().map(|(k, v)| (k, v))
    }

    /// Iterates over the rows with mutable values, sorted by key.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the sorted keys.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.rows.iter().map(|(k, _)| k)
    }

    /// Iterates over the values, sorted by key.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.iter().map(|(_, v)| v)
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for Table<K, V> {
    /// Collects rows in any order. Of several rows with the same key, the first is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Table<K, V> {
        let mut rows: Vec<(K, V)> = rows.into_iter().collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows.dedup_by(|a, b| a.0 == b.0);
        Table { rows }
    }
}
