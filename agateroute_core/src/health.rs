//! Load and recent faults of backend servers, used to choose one for a request.

use crate::Table;
use crate::id::{Id, Millis};

/// How long a server is avoided after it refused a connection or crashed, in milliseconds.
const REFUSED_PAUSE_MS: Millis = 500;
/// How long a server is avoided after a report that it is leaving, in milliseconds.
const LEAVING_PAUSE_MS: Millis = 2_000;

/// The cost added for each recently lost or failed request, in thousandths of a server's capacity.
const FAULT_COST: f32 = 150.0;
/// The number of faults above which the cost stops growing. A faulty server still gets requests
/// when the others are full, which shows when it has recovered.
const MAX_FAULTS: f32 = 6.0;
/// The time constant with which faults decay, in milliseconds.
const FAULT_DECAY_MS: f32 = 2_000.0;

/// The state of one server; a new one has no load and no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Health {
    avoid_until: Millis,
    pressure: u32,
    /// The number of faults, decayed up to `faults_at`.
    faults: f32,
    faults_at: Millis,
}

impl Health {
    fn faults(&self, now: Millis) -> f32 {
        let elapsed = now.saturating_sub(self.faults_at) as f32;
        self.faults * (-elapsed / FAULT_DECAY_MS).exp()
    }
}

/// The state of all servers, by identifier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthTable {
    rows: Table<Id, Health>,
}

impl HealthTable {
    /// Whether requests may be sent to a server now.
    pub fn usable(&self, server: Id, now: Millis) -> bool {
        self.rows.get(&server).is_none_or(|h| h.avoid_until <= now)
    }

    /// The last known load of a server, in thousandths of its capacity; 0 if unknown.
    pub fn pressure(&self, server: Id) -> u32 {
        self.rows.get(&server).map_or(0, |h| h.pressure)
    }

    /// The load plus a penalty for recent faults, in thousandths of the server's capacity.
    pub fn cost(&self, server: Id, now: Millis) -> u32 {
        let health = self.rows.get(&server);
        health.map_or(0, |h| h.pressure + (h.faults(now) * FAULT_COST) as u32)
    }

    /// Counts a request that a server lost or failed.
    pub fn record_failure(&mut self, server: Id, now: Millis) {
        let health = self.rows.entry(server, Health::default);
        health.faults = (health.faults(now) + 1.0).min(MAX_FAULTS);
        health.faults_at = now;
    }

    /// Sets the load to the value reported by the server's owner.
    pub fn set_pressure(&mut self, server: Id, pressure: u32) {
        self.rows.entry(server, Health::default).pressure = pressure;
    }

    /// Adds a request to the load until the owner's next report.
    pub fn add_pressure(&mut self, server: Id, pressure: u32) {
        self.rows.entry(server, Health::default).pressure += pressure;
    }

    /// Subtracts an ended request from the load until the owner's next report.
    pub fn sub_pressure(&mut self, server: Id, pressure: u32) {
        if let Some(health) = self.rows.get_mut(&server) {
            health.pressure = health.pressure.saturating_sub(pressure);
        }
    }

    /// Avoids a server for `REFUSED_PAUSE_MS`, after it refused a connection or crashed.
    pub fn record_refusal(&mut self, server: Id, now: Millis) {
        self.avoid(server, now + REFUSED_PAUSE_MS);
    }

    /// Avoids a server for `LEAVING_PAUSE_MS`, after a report that it is leaving.
    pub fn record_leaving(&mut self, server: Id, now: Millis) {
        self.avoid(server, now + LEAVING_PAUSE_MS);
    }

    fn avoid(&mut self, server: Id, until: Millis) {
        let health = self.rows.entry(server, Health::default);
        health.avoid_until = health.avoid_until.max(until);
    }

    /// Drops the state of servers that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(Id) -> bool) {
        self.rows.retain(|server, _| declared(*server));
    }
}
