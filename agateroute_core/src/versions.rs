//! The software versions of backend servers.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it. See
//! `docs/DESIGN.md`, "Streams and software versions".

use crate::catalog::Catalog;
use crate::id::Id;
use crate::placement::UNKNOWN_VERSION;
use crate::state::State;

impl State {
    /// Marks the versions of what runs on a server as unknown if the server is listed with another version now: the
    /// list lags, so the attempt may have reached either.
    pub(crate) fn forget_changed_versions(&mut self, former: &Catalog) {
        let catalog = self.catalog.clone();
        let changed = |server: &Id| {
            let versions = [former, &*catalog].map(|c| c.servers.get(server).map(|s| s.version));
            matches!(versions, [Some(before), Some(now)] if before != now)
        };
        for (_, running) in self.entry.running.iter_mut() {
            if changed(&running.server) {
                running.version = UNKNOWN_VERSION;
                running.spec.version = running.spec.version.map(|_| UNKNOWN_VERSION);
            }
        }
    }
}
