//! What an entry instance knows of the backend servers that it may ask for.

use crate::Table;
use crate::id::{Id, Millis};

/// How long a server is left alone after it refused a connection, in milliseconds.
const REFUSED_PAUSE_MS: Millis = 500;
/// How long a server that is leaving is not asked for, in milliseconds.
const LEAVING_PAUSE_MS: Millis = 2_000;

/// How much busier a server looks for each request that it lost or failed lately, in thousandths.
const FAULT_COST: f32 = 150.0;
/// The most that faults make a server look busier. It still gets work when the others are full, so that it
/// is noticed when it works again.
const MAX_FAULTS: f32 = 6.0;
/// The time in which faults fade to a third, in milliseconds.
const FAULT_DECAY_MS: f32 = 2_000.0;

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Health {
    avoid_until: Millis,
    pressure: u32,
    /// The faults at a moment; they fade from then on.
    faults: f32,
    faults_at: Millis,
}

impl Health {
    fn faults(&self, now: Millis) -> f32 {
        let elapsed = now.saturating_sub(self.faults_at) as f32;
        self.faults * (-elapsed / FAULT_DECAY_MS).exp()
    }
}

/// What is known of all servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthTable {
    rows: Table<Id, Health>,
}

impl HealthTable {
    /// Whether a server should be asked for.
    pub fn usable(&self, server: Id, now: Millis) -> bool {
        self.rows.get(&server).is_none_or(|h| h.avoid_until <= now)
    }

    /// The load of a server as far as it is known, in thousandths of what it can take.
    pub fn pressure(&self, server: Id) -> u32 {
        self.rows.get(&server).map_or(0, |h| h.pressure)
    }

    /// How busy a server looks, with what speaks against it.
    pub fn cost(&self, server: Id, now: Millis) -> u32 {
        let health = self.rows.get(&server);
        health.map_or(0, |h| h.pressure + (h.faults(now) * FAULT_COST) as u32)
    }

    /// Notes that a server lost or failed a request.
    pub fn record_failure(&mut self, server: Id, now: Millis) {
        let health = self.rows.entry(server, Health::default);
        health.faults = (health.faults(now) + 1.0).min(MAX_FAULTS);
        health.faults_at = now;
    }

    /// Takes over the load that an owner reported.
    pub fn set_pressure(&mut self, server: Id, pressure: u32) {
        self.rows.entry(server, Health::default).pressure = pressure;
    }

    /// Counts a request towards the load until its owner reports again.
    pub fn add_pressure(&mut self, server: Id, pressure: u32) {
        self.rows.entry(server, Health::default).pressure += pressure;
    }

    /// Takes a request that ended off the load until its owner reports again.
    pub fn sub_pressure(&mut self, server: Id, pressure: u32) {
        if let Some(health) = self.rows.get_mut(&server) {
            health.pressure = health.pressure.saturating_sub(pressure);
        }
    }

    /// Notes that a server refused a connection.
    pub fn record_refusal(&mut self, server: Id, now: Millis) {
        self.avoid(server, now + REFUSED_PAUSE_MS);
    }

    /// Notes that a server is leaving.
    pub fn record_leaving(&mut self, server: Id, now: Millis) {
        self.avoid(server, now + LEAVING_PAUSE_MS);
    }

    fn avoid(&mut self, server: Id, until: Millis) {
        let health = self.rows.entry(server, Health::default);
        health.avoid_until = health.avoid_until.max(until);
    }

    /// Forgets servers that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(Id) -> bool) {
        self.rows.retain(|server, _| declared(*server));
    }
}
