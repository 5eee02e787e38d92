//! Rules of a soak for evacuated zones and cold servers, judged from what servers get and callers see.

use std::time::{Duration, Instant};

use agateroute_standin::cold::FALL_TIME;
use agateroute_standin::server::Arrival;
use agateroute_standin::{ColdStart, ZoneBounds};

use crate::checker::{CALLER_TIMEOUT, Checker, FAULT_FREE_TIME, Part};
use crate::needs::most_within;

/// What documents say of servers that have just started. Cold servers of a soak get several requests a second otherwise.
pub const COLD_START: ColdStart = ColdStart { seconds: 4.0, per_second: 3.0 };
/// Bounds in the settings of the instances: those of deployment M.
pub const ZONE_BOUNDS: ZoneBounds =
    ZoneBounds { evacuation_ms: 5_000, cold_overshoot: 1.5, cold_slack: 5.0 };

/// Time from the acknowledgement after which servers of an evacuated zone get nothing.
const EVACUATION_TIME: Duration = Duration::from_millis(ZONE_BOUNDS.evacuation_ms);
/// Time that is added if the table service is not calm.
const UNSTABLE_TIME: Duration = Duration::from_secs(6);
/// Time within which a server is known to be cold that only its entry says so of: as for servers that leave.
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Span in which the requests of cold servers are counted.
const COLD_SPAN: Duration = Duration::from_secs(1);
/// Time after a request in which its servers must be sound for the rule on callers.
const WORK_TIME: Duration = Duration::from_millis(CALLER_TIMEOUT.as_millis() as u64 / 2);
/// Sound servers of each service outside the evacuated zone for the rule on callers.
const MIN_SOUND: usize = 2;

/// The most requests that a cold server may get in a second.
pub(crate) fn cold_bound() -> f64 {
    COLD_START.per_second * ZONE_BOUNDS.cold_overshoot + ZONE_BOUNDS.cold_slack
}

/// Time in which a server is cold.
#[derive(Debug)]
struct ColdPhase {
    server: String,
    from: Instant,
    until: Instant,
    /// Whether instances know of it without the entry of the server.
    announced: bool,
}

/// Zones, evacuations and cold servers of a soak, for the checks at its end.
#[derive(Debug, Default)]
pub struct ZoneLog {
    /// Servers with their service, their zone, and when they started.
    servers: Vec<(String, String, String, Instant)>,
    /// Evacuated zones, when their row was acknowledged, and when it was removed.
    evacuations: Vec<(String, Instant, Option<Instant>)>,
    cold: Vec<ColdPhase>,
}

impl ZoneLog {
    /// Whether a zone is evacuated now.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.iter().any(|(z, _, end)| z == zone && end.is_none())
    }

    /// Whether a server was neither cold nor in an evacuated zone at any time of a span.
    pub(crate) fn is_open(&self, server: &str, from: Instant, until: Instant) -> bool {
        let zone = self.servers.iter().find(|s| s.0 == server).map(|s| &s.2);
        let evacuated = self.evacuations.iter().any(|(evacuated, since, end)| {
            Some(evacuated) == zone && *since <= until && end.is_none_or(|e| e > from)
        });
        let cold =
            self.cold.iter().any(|c| c.server == server && c.from <= until && c.until > from);
        !evacuated && !cold
    }
}

impl Checker {
    /// Records the zone of a server that starts.
    pub fn record_zone(&mut self, server: &str, service: &str, zone: &str) {
        let (server, service, zone) = (server.to_owned(), service.to_owned(), zone.to_owned());
        self.zones.servers.push((server, service, zone, Instant::now()));
    }

    /// Records when the table service acknowledged that a zone is evacuated.
    pub fn record_evacuation(&mut self, zone: &str, at: Instant) {
        self.zones.evacuations.push((zone.to_owned(), at, None));
    }

    /// Records the end of an evacuation. Returns whether all instances knew of it.
    pub fn record_evacuation_end(&mut self, zone: &str, at: Instant) -> bool {
        let running =
            |(z, _, end): &&mut (String, Instant, Option<Instant>)| z == zone && end.is_none();
        let Some(evacuation) = self.zones.evacuations.iter_mut().find(running) else {
            return false;
        };
        evacuation.2 = Some(at);
        let since = evacuation.1;
        at > self.evacuation_bound(since)
    }

    /// Records that a server is cold, and whether instances know of it without its entry.
    pub fn record_cold(&mut self, server: &str, from: Instant, until: Instant, announced: bool) {
        let server = server.to_owned();
        self.zones.cold.push(ColdPhase { server, from, until, announced });
    }

    /// Records that a cold server fell over. It loses its work and is back, cold again, after [`FALL_TIME`].
    pub fn record_fall(&mut self, server: &str, at: Instant) {
        let back = at + FALL_TIME;
        self.faults.push((Part::Server(server.to_owned()), at, Some(back)));
        self.record_cold(server, back, back + Duration::from_secs_f64(COLD_START.seconds), false);
    }

    /// Checks what servers of evacuated zones and cold servers got, and how callers were served meanwhile. All of it depends on
    /// time: on a busy machine, requests arrive later than they were sent, and several at once.
    pub fn check_zones(&mut self) {
        if self.skip_timing {
            return;
        }
        let mut failures = self.late_requests();
        failures.extend(self.cold_overloads());
        failures.extend(self.unserved_callers());
        failures.iter().for_each(|(rule, detail)| self.fail(rule, detail));
    }

    /// When all instances must know of an evacuation. A table service that is not calm until then stretches the time.
    fn evacuation_bound(&self, acknowledged: Instant) -> Instant {
        let calm_from = before(acknowledged, FAULT_FREE_TIME);
        let mut bound = acknowledged + EVACUATION_TIME;
        for (_, start, end) in self.faults.iter().filter(|(part, ..)| *part == Part::Store) {
            let end = end.unwrap_or_else(Instant::now);
            if *start <= bound && end > calm_from {
                bound = bound.max(end.max(acknowledged) + EVACUATION_TIME + UNSTABLE_TIME);
            }
        }
        bound
    }

    /// Whether the requests of a caller reached a server without a delay by a link.
    fn is_prompt(&self, server: &str, at: Instant) -> bool {
        self.free_between(&Part::Held(server.to_owned()), before(at, COLD_SPAN), at)
    }

    fn late_requests(&self) -> Vec<(&'static str, String)> {
        let mut failures = Vec::new();
        for (zone, since, end) in &self.zones.evacuations {
            let bound = self.evacuation_bound(*since);
            let in_zone =
                |server: &String| self.zones.servers.iter().any(|s| s.0 == *server && s.2 == *zone);
            let is_late = |(server, arrival, slot): &&(String, Arrival, usize)| {
                let (at, from) = (arrival.at, before(arrival.at, FAULT_FREE_TIME));
                let parts = [Part::Process, Part::Overdue, Part::Links, Part::Reach];
                at > bound
                    && end.is_none_or(|e| at < e)
                    && !arrival.misdirected
                    && in_zone(server)
                    && parts.iter().all(|p| self.free_between(&p(*slot), from, at))
                    && self.is_prompt(server, at)
            };
            let late: Vec<_> = self.needs.arrivals.iter().filter(is_late).collect();
            if let Some((server, arrival, slot)) = late.first() {
                let (count, after) = (late.len(), (arrival.at - *since).as_millis());
                let detail = format!(
                    "{count} requests in {zone}, first {} of instance {slot} at {server} after {after} ms",
                    arrival.id
                );
                failures.push(("evacuated zones", detail));
            }
        }
        failures
    }

    /// From when the bound of a cold server holds, if it does.
    fn known_cold(&self, phase: &ColdPhase) -> Option<Instant> {
        let known = phase.from + NOTICE_TIME;
        match phase.announced {
            true => Some(phase.from),
            false => {
                let calm = before(phase.from, FAULT_FREE_TIME);
                self.free_between(&Part::Store, calm, known).then_some(known)
            }
        }
    }

    fn cold_overloads(&self) -> Vec<(&'static str, String)> {
        let mut failures = Vec::new();
        for phase in &self.zones.cold {
            let (server, until) = (&phase.server, phase.until);
            let Some(from) = self.known_cold(phase) else { continue };
            let arrivals = self.needs.arrivals.iter().filter(|(name, arrival, _)| {
                let counts = !arrival.misdirected && (from..until).contains(&arrival.at);
                name == server && counts && self.is_prompt(server, arrival.at)
            });
            let times: Vec<Instant> = arrivals.map(|(_, arrival, _)| arrival.at).collect();
            let worst = most_within(&times, COLD_SPAN);
            if worst as f64 > cold_bound() {
                let detail = format!("{server} got {worst} in 1 s, allowed {}", cold_bound());
                failures.push(("cold servers", detail));
            }
        }
        failures
    }

    /// Compares callers while one zone is evacuated with callers while none is, as far as two sound servers of each service are
    /// in other zones.
    fn unserved_callers(&self) -> Option<(&'static str, String)> {
        let (mut during, mut others) = ((0_u64, 0_u64), (0_u64, 0_u64));
        for &(slot, at, served) in &self.needs.attempts {
            let until = at + WORK_TIME;
            let overlapping = self.zones.evacuations.iter();
            let mut evacuations =
                overlapping.filter(|(_, since, end)| *since <= until && end.is_none_or(|e| e > at));
            let (one, more) = (evacuations.next(), evacuations.next());
            if more.is_some() || one.is_some_and(|(_, since, _)| *since > at) {
                continue;
            }
            let sound = |service: &str| self.sound_servers(service, (at, until)) >= MIN_SOUND;
            let untouched = self.is_calm(slot, at, until)
                && self.free_between(&Part::Reach(slot), before(at, FAULT_FREE_TIME), until)
                && self.free_between(&Part::Store, before(at, FAULT_FREE_TIME), until);
            if untouched && sound("ledger") && sound("writers") {
                let counts = if one.is_some() { &mut during } else { &mut others };
                *counts = (counts.0 + u64::from(served), counts.1 + 1);
            }
        }
        let much_worse = match others.1 {
            0 => during.0 == 0,
            _ => during.0 * others.1 * 2 < others.0 * during.1,
        };
        let failed = during.1 - during.0;
        (much_worse && failed > 10 + during.1 / 50).then(|| {
            let detail = format!(
                "{} of {} served beside an evacuated zone, {} of {} without one",
                during.0, during.1, others.0, others.1
            );
            ("callers beside evacuated zones", detail)
        })
    }

    /// The number of servers of a service to which nothing was done in a span, and that are open.
    fn sound_servers(&self, service: &str, (from, until): (Instant, Instant)) -> usize {
        let sound = |name: &String| {
            let parts = [Part::Server, Part::Turned, Part::Slow, Part::Held];
            parts.iter().all(|p| self.free_between(&p(name.clone()), from, until))
                && !self.leaving.iter().any(|(leaving, at)| leaving == name && *at <= until)
                && self.zones.is_open(name, from, until)
        };
        let servers = self.zones.servers.iter();
        servers
            .filter(|(name, of, _, started)| {
                of == service && *started + NOTICE_TIME <= from && sound(name)
            })
            .count()
    }
}

fn before(time: Instant, span: Duration) -> Instant {
    time.checked_sub(span).unwrap_or(time)
}
