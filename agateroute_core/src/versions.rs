//! The software versions of backend servers.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it. See
//! `docs/DESIGN.md`, "Streams and software versions".

use crate::Table;
use crate::catalog::Catalog;
use crate::effect::Effect;
use crate::id::{Id, Millis};
use crate::placement::UNKNOWN_VERSION;
use crate::state::State;
use crate::streams::Origin;

record! {
    /// A version that servers of a model have or lately had.
    struct Seen {
        version: Id,
        /// The number of listed servers.
        count: u32,
        /// The most servers that were listed at once lately, and when they last were.
        peak: u32,
        peak_at: Millis,
        /// When a server of the version was last listed.
        listed_at: Millis,
    }

    /// The versions of one model.
    struct TargetVersions {
        seen: Vec<Seen>,
        /// Since when the list of servers is known.
        since: Millis,
        /// The versions that were last announced, to be logged and stored.
        announced: Vec<Id>,
    }
}

impl TargetVersions {
    fn new(now: Millis) -> TargetVersions {
        TargetVersions { seen: Vec::new(), since: now, announced: Vec::new() }
    }

    fn seen_mut(&mut self, version: Id, now: Millis) -> &mut Seen {
        let known = self.seen.iter().position(|s| s.version == version);
        let at = known.unwrap_or_else(|| {
            self.seen.push(Seen { version, count: 0, peak: 0, peak_at: now, listed_at: now });
            self.seen.len() - 1
        });
        &mut self.seen[at]
    }
}

/// The software versions that have served each model lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionHistory {
    targets: Table<Id, TargetVersions>,
    /// Whether the versions that served before this instance started are known.
    stored_known: bool,
}

impl VersionHistory {
    /// Records the listed servers of a model.
    fn observe(&mut self, target: Id, versions: &[Id], now: Millis) {
        if versions.is_empty() && !self.targets.contains(&target) {
            return;
        }
        let entry = self.targets.entry(target, || TargetVersions::new(now));
        for seen in &mut entry.seen {
            if seen.count > 0 {
                seen.listed_at = now;
            }
            seen.count = 0;
        }
        for version in versions {
            let seen = entry.seen_mut(*version, now);
            (seen.count, seen.listed_at) = (seen.count + 1, now);
        }
        for seen in entry.seen.iter_mut().filter(|s| s.count >= s.peak) {
            (seen.peak, seen.peak_at) = (seen.count, now);
        }
    }

    /// Adds the versions that were stored before this instance started. They may have served until now.
    fn load(&mut self, stored: &[(Id, Vec<Id>)], now: Millis) {
        self.stored_known = true;
        for (target, versions) in stored {
            let entry = self.targets.entry(*target, || TargetVersions::new(now));
            for version in versions {
                entry.seen_mut(*version, now);
            }
        }
    }

    /// Drops the versions that have had no server for `window_ms`.
    fn expire(&mut self, now: Millis, window_ms: Millis) {
        for (_, entry) in self.targets.iter_mut() {
            entry.seen.retain(|s| s.count > 0 || s.listed_at + window_ms > now);
            for seen in entry.seen.iter_mut().filter(|s| s.peak_at + window_ms <= now) {
                (seen.peak, seen.peak_at) = (seen.count, now);
            }
        }
    }

    /// Returns the version of a model's servers if no other has served within `window_ms`.
    pub fn only_version(&self, target: Id, now: Millis, window_ms: Millis) -> Option<Id> {
        let entry = self.targets.get(&target)?;
        let is_covered = self.stored_known || entry.since + window_ms <= now;
        let recent = |s: &&Seen| s.count > 0 || s.listed_at + window_ms > now;
        let mut recent = entry.seen.iter().filter(recent);
        let only = recent.next().filter(|s| s.version != UNKNOWN_VERSION)?.version;
        (is_covered && recent.next().is_none()).then_some(only)
    }

    /// Returns the share of a version's servers that have left lately, in thousandths, while other versions serve too.
    pub fn shrinkage(&self, target: Id, version: Id) -> u32 {
        let Some(entry) = self.targets.get(&target) else { return 0 };
        if entry.seen.iter().filter(|s| s.count > 0).count() < 2 {
            return 0;
        }
        let seen = entry.seen.iter().find(|s| s.version == version && s.peak > 0);
        seen.map_or(0, |s| (s.peak - s.count.min(s.peak)) * 1_000 / s.peak)
    }

    /// Returns the models whose versions differ from those that were last announced, with the current ones.
    fn take_changed(&mut self) -> Vec<(Id, Vec<Id>)> {
        let mut changed = Vec::new();
        for (target, entry) in self.targets.iter_mut() {
            let mut versions: Vec<Id> = entry.seen.iter().map(|s| s.version).collect();
            versions.sort_unstable();
            if entry.announced != versions {
                entry.announced.clone_from(&versions);
                changed.push((*target, versions));
            }
        }
        changed
    }

    fn forget_announced(&mut self, target: Option<Id>) {
        for (id, entry) in self.targets.iter_mut() {
            if target.is_none_or(|t| t == *id) {
                entry.announced.clear();
            }
        }
    }
}

impl State {
    /// Records the versions of the servers in the catalog.
    pub(crate) fn observe_versions(&mut self) {
        let catalog = self.catalog.clone();
        for (target, servers) in catalog.targets.iter() {
            let versions: Vec<Id> = servers.iter().map(|s| self.version_of(*s)).collect();
            self.versions.observe(*target, &versions, self.now);
        }
        self.announce_versions();
    }

    /// Has changed versions logged, and stored by their owner once it knows what is stored.
    fn announce_versions(&mut self) {
        if !self.versions.stored_known {
            return;
        }
        for (target, versions) in self.versions.take_changed() {
            let decided = self.owner_of(target) == self.membership.me;
            self.effects.push(Effect::VersionsChanged { target, versions, decided });
        }
    }

    pub(crate) fn versions_loaded(&mut self, stored: &[(Id, Vec<Id>)]) {
        self.versions.load(stored, self.now);
        self.announce_versions();
    }

    /// Announces the versions of a model again that could not be stored, or of all models after the table service has lost
    /// rows.
    pub(crate) fn store_versions_again(&mut self, target: Option<Id>) {
        self.versions.forget_announced(target);
        self.announce_versions();
    }

    pub(crate) fn tick_versions(&mut self) {
        self.versions.expire(self.now, self.catalog.stream_retention_ms());
        self.announce_versions();
    }

    /// Marks the versions of what runs on a server as unknown if the server is listed with another version now: the
    /// list lags, so the attempt may have reached either.
    pub(crate) fn forget_changed_versions(&mut self, former: &Catalog) {
        let catalog = self.catalog.clone();
        let changed = |server: &Id| {
            let versions = [former, &*catalog].map(|c| c.servers.get(server).map(|s| s.version));
            matches!(versions, [Some(before), Some(now)] if before != now)
        };
        let mut uncertain = Vec::new();
        for (_, running) in self.entry.running.iter_mut() {
            if changed(&running.server) {
                running.version = UNKNOWN_VERSION;
                running.spec.version = running.spec.version.map(|_| UNKNOWN_VERSION);
                uncertain.push((running.spec.stream, running.spec.target));
            }
        }
        for (stream, target) in uncertain {
            self.stream_began(stream, Origin { target, version: UNKNOWN_VERSION });
        }
    }
}
