//! Findings in a valid document: entries that never take effect, and limits that contradict each other. What
//! [`parse_document`](crate::parse_document) reports as a problem is not reported again.

use std::fmt;
use std::net::SocketAddr;

use crate::rank::Rank;
use crate::route::{Route, RouteTarget};
use crate::service::{Call, Service};
use crate::{Document, Settings};

/// The severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The entry names what does not exist, or no request can ever match it or reach it.
    Error,
    /// A value has no effect, or limits contradict each other. Requests are served nevertheless.
    Warning,
}

/// A finding in a document that the validation accepts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// The section of the document: a key of its first level.
    pub section: &'static str,
    /// The name of the entry, or the key of the value in a section without names. Parts of entries follow after a slash.
    pub entry: String,
    /// How severe it is.
    pub kind: Kind,
    /// The reason, with the values concerned.
    pub reason: String,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Error => "error",
            Kind::Warning => "warning",
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { section, entry, kind, reason } = self;
        write!(f, "{kind}: {section} {entry:?}: {reason}")
    }
}

/// Bytes of a megabyte, the unit of `memory_mb`.
const MB_BYTES: u64 = 1_000_000;
/// Request bodies use at most the memory of the process divided by this, as `memory_mb` documents.
const BODY_MEMORY_DIVISOR: u64 = 4;
const HOUR_MS: u64 = 3_600_000;

/// Returns the findings of a valid document, sorted. `instances` are the settings of instances that will serve it.
pub fn findings(document: &Document, instances: &[Settings]) -> Vec<Finding> {
    let mut collector = Collector { document, found: Vec::new() };
    let c = &mut collector;
    find_in_ranks(c);
    find_in_models(c);
    find_in_services(c);
    find_in_routes(c);
    find_in_servers(c);
    find_in_organisations(c);
    find_in_limits(c, instances);
    find_in_routing(c);
    let mut found = collector.found;
    found.sort();
    found.dedup();
    found
}

struct Collector<'a> {
    document: &'a Document,
    found: Vec<Finding>,
}

impl Collector<'_> {
    fn error(&mut self, section: &'static str, entry: impl Into<String>, reason: String) {
        self.found.push(Finding { section, entry: entry.into(), kind: Kind::Error, reason });
    }

    fn warn(&mut self, section: &'static str, entry: impl Into<String>, reason: String) {
        self.found.push(Finding { section, entry: entry.into(), kind: Kind::Warning, reason });
    }

    /// Reports names that a list contains more than once.
    fn find_repeated(&mut self, section: &'static str, entry: &str, key: &str, names: &[String]) {
        for (i, name) in names.iter().enumerate() {
            if names[..i].contains(name) {
                let reason = format!("{name:?} stands in {key} twice, once is enough");
                self.warn(section, entry, reason);
            }
        }
    }
}

/// Whether any organisation may request a model or service by name.
fn is_granted<'a>(mut grants: impl Iterator<Item = &'a Vec<String>>, name: &str) -> bool {
    grants.any(|names| names.iter().any(|n| n == name))
}

/// Whether a route sends requests to a target of this name.
fn is_routed(document: &Document, name: &str) -> bool {
    let mut targets = document.routes.iter().flat_map(|r| &r.targets);
    targets.any(|t| t.weight > 0 && t.service == name)
}

fn model_is_granted(document: &Document, model: &str) -> bool {
    is_granted(document.organisations.iter().map(|o| &o.models), model)
}

fn service_is_granted(document: &Document, service: &str) -> bool {
    is_granted(document.organisations.iter().map(|o| &o.services), service)
}

/// Whether an attempt that reached its server can be followed by another one.
fn has_retries(document: &Document) -> bool {
    let routing = &document.routing;
    routing.retries > 0 && (routing.retry_percent > 0 || routing.retry_slack > 0)
}

fn find_in_ranks(c: &mut Collector<'_>) {
    let document = c.document;
    let kinds = || document.models.iter().flat_map(|m| &m.kinds);
    let calls = document.services.iter().flat_map(|s| &s.calls);
    let of_organisations = document.organisations.iter().filter_map(|o| o.rank.as_ref());
    let mut used: Vec<&str> = kinds().map(|k| k.rank.as_str()).collect();
    used.extend(calls.map(|k| k.rank.as_str()));
    used.extend(document.routes.iter().map(|r| r.rank.as_str()));
    used.extend(of_organisations.map(String::as_str));
    let is_used = |rank: &Rank| used.contains(&rank.name.as_str());
    for (i, rank) in document.ranks.iter().enumerate() {
        if !is_used(rank) {
            let reason = "no request kind, call, route or organisation uses it".to_owned();
            c.warn("ranks", &rank.name, reason);
            continue;
        }
        if rank.floor_percent > 0 && !document.ranks[..i].iter().any(is_used) {
            let reason = format!(
                "floor_percent {} has no effect, since no rank in use is more urgent",
                rank.floor_percent
            );
            c.warn("ranks", &rank.name, reason);
        }
        if !kinds().any(|k| k.rank == rank.name) {
            continue;
        }
        let (pause, first) = (rank.between_tokens_ms, rank.first_token_ms);
        if pause > first {
            let reason = format!("between_tokens_ms {pause} is above first_token_ms {first}");
            c.warn("ranks", &rank.name, reason);
        }
        let silence = document.routing.silence_ms;
        if silence < pause {
            let reason = format!(
                "silence_ms {silence} is below between_tokens_ms {pause} of rank {:?}, so streams that are on time are cut",
                rank.name
            );
            c.warn("routing", "silence_ms", reason);
        }
    }
}

fn find_in_models(c: &mut Collector<'_>) {
    let document = c.document;
    for model in &document.models {
        let name = &model.name;
        let engines = document.servers.iter().filter(|s| s.runs_model(name));
        let memory = engines.filter_map(|s| s.engine.as_ref()).map(|e| e.memory_tokens).max();
        if let Some(memory) = memory.filter(|m| *m < u64::from(model.context_tokens)) {
            let reason = format!(
                "context_tokens {} is above the memory_tokens {memory} of each engine that runs it",
                model.context_tokens
            );
            c.warn("models", name, reason);
        }
        if model_is_granted(document, name) {
            continue;
        }
        if !is_routed(document, name) {
            c.warn(
                "models",
                name,
                "no organisation may request it, and no route leads to it".to_owned(),
            );
            continue;
        }
        // A model has to declare one kind, so only the others are needless.
        for kind in model.kinds.iter().skip(1) {
            let reason = "no organisation may request its model by name, and routes use no kinds";
            c.warn("models", format!("{name}/{}", kind.name), reason.to_owned());
        }
        for adapter in &model.adapters {
            let reason =
                "no organisation may request its model by name, and routes use no adapters";
            c.warn("models", format!("{name}:{}", adapter.name), reason.to_owned());
        }
    }
}

fn find_in_services(c: &mut Collector<'_>) {
    for service in &c.document.services {
        let name = &service.name;
        find_in_calls(c, service);
        if service_is_granted(c.document, name) {
            continue;
        }
        if !is_routed(c.document, name) {
            c.warn(
                "services",
                name,
                "no organisation may call it, and no route leads to it".to_owned(),
            );
            continue;
        }
        // A service has to declare one call, so only the others are needless.
        for call in service.calls.iter().skip(1) {
            let reason = "no organisation may call its service by name, and routes use no calls";
            c.warn("services", format!("{name}/{}", call.kind), reason.to_owned());
        }
    }
}

fn find_in_calls(c: &mut Collector<'_>, service: &Service) {
    let document = c.document;
    for (i, call) in service.calls.iter().enumerate() {
        let entry = format!("{}/{}", service.name, call.kind);
        let Call { method, path, .. } = call;
        if !method.bytes().all(is_token_byte) {
            c.error(
                "services",
                &entry,
                format!("{method:?} is no HTTP method, so it never matches"),
            );
        }
        if let Some(found) = impossible_in_path(path) {
            c.error(
                "services",
                &entry,
                format!("no path contains {found:?}, so {path:?} never matches"),
            );
        }
        if let Some(earlier) = service.calls[..i].iter().find(|e| covers(e, call)) {
            let reason = format!(
                "call {method} {path:?} never matches, since call {} {:?} of kind {:?} before it matches all its requests",
                earlier.method, earlier.path, earlier.kind
            );
            c.error("services", &entry, reason);
        }
        let target = document.ranks.iter().find(|r| r.name == call.rank).map_or(0, |r| r.answer_ms);
        let (timeout, once) = (service.timeout_ms, !call.repeatable || !has_retries(document));
        if timeout < target && once {
            let reason = format!(
                "timeout_ms {timeout} is below answer_ms {target} of rank {:?}, and no second attempt follows",
                call.rank
            );
            c.warn("services", &entry, reason);
        }
    }
}

/// Whether a call matches all requests that another one matches.
fn covers(call: &Call, other: &Call) -> bool {
    let method_fits = call.method == "*" || call.method.eq_ignore_ascii_case(&other.method);
    let (prefix, path) = (call.path.trim_matches('/'), other.path.trim_matches('/'));
    let rest = path.strip_prefix(prefix);
    let path_fits = rest.is_some_and(|r| prefix.is_empty() || r.is_empty() || r.starts_with('/'));
    method_fits && path_fits
}

/// Whether a byte may occur in an HTTP method. The method `*` of calls, which stands for all methods, consists of one.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns the first character of a prefix that the path of a request never contains.
fn impossible_in_path(prefix: &str) -> Option<char> {
    prefix.chars().find(|c| matches!(c, '?' | '#') || c.is_whitespace() || c.is_control())
}

fn find_in_routes(c: &mut Collector<'_>) {
    let document = c.document;
    let has_organisations = !document.organisations.is_empty();
    for route in &document.routes {
        let name = &route.name;
        if let Some(reason) = unmatched_host(&route.host) {
            c.error(
                "routes",
                name,
                format!("host {:?} {reason}, so the route never matches", route.host),
            );
        }
        if let Some(found) = impossible_in_path(&route.prefix) {
            let reason = format!("no path contains {found:?}, so {:?} never matches", route.prefix);
            c.error("routes", name, reason);
        }
        if !route.public && !has_organisations {
            let reason =
                "requests need no key although it is not public, since no organisation is declared";
            c.warn("routes", name, reason.to_owned());
        }
        find_in_route_limits(c, route);
        for target in &route.targets {
            find_in_target(c, route, target);
        }
    }
}

/// Returns why no request has this host. Hosts of requests are compared in lower case and without their port.
fn unmatched_host(host: &str) -> Option<&'static str> {
    if host.chars().any(|c| c.is_ascii_uppercase()) {
        return Some("is not in lower case");
    }
    if host.contains(':') && !(host.starts_with('[') && host.ends_with(']')) {
        return Some("has a port");
    }
    let impossible =
        |c: char| matches!(c, '/' | '?' | '#' | '@' | '*') || c.is_whitespace() || !c.is_ascii();
    host.chars().any(impossible).then_some("is no host name")
}

fn find_in_route_limits(c: &mut Collector<'_>, route: &Route) {
    let name = &route.name;
    let Route { timeout_ms, target_ms, gap_ms, attempts, .. } = route;
    if timeout_ms < target_ms {
        c.warn("routes", name, format!("timeout_ms {timeout_ms} is below target_ms {target_ms}"));
    }
    if route.kind.streams() {
        if gap_ms > target_ms {
            c.warn("routes", name, format!("gap_ms {gap_ms} is above target_ms {target_ms}"));
        }
    } else if *gap_ms > 0 {
        c.warn(
            "routes",
            name,
            format!("gap_ms {gap_ms} has no effect, since its answers are no streams"),
        );
    }
    let retries = c.document.routing.retries;
    if *attempts > 1 && !route.kind.repeatable() {
        let reason =
            format!("attempts {attempts} has no effect, since its requests run at most once");
        c.warn("routes", name, reason);
    } else if *attempts > retries.saturating_add(1) {
        let reason = format!(
            "attempts {attempts} is above the 1 + {retries} that the retries of routing allow"
        );
        c.warn("routes", name, reason);
    }
}

fn find_in_target(c: &mut Collector<'_>, route: &Route, target: &RouteTarget) {
    let (document, service) = (c.document, &target.service);
    let entry = format!("{}/{service}", route.name);
    // The validation rejects a route whose targets all have the weight 0.
    if target.weight == 0 {
        c.warn("routes", &entry, "weight 0, so the target gets no requests".to_owned());
    }
    if document.model(service).is_some() && document.service(service).is_some() {
        let reason =
            format!("{service:?} is a model and a service, and only the model gets the requests");
        c.warn("routes", &entry, reason);
    }
}

fn find_in_servers(c: &mut Collector<'_>) {
    let servers = &c.document.servers;
    let mut by_address: Vec<(&str, &str)> =
        servers.iter().map(|s| (s.address.as_str(), s.name.as_str())).collect();
    by_address.sort_unstable();
    for pair in by_address.windows(2) {
        if pair[0].0 == pair[1].0 {
            let reason = format!(
                "it has the address {} of {:?}, so one process gets the load of both",
                pair[1].0, pair[0].1
            );
            c.warn("servers", pair[1].1, reason);
        }
    }
    for server in servers {
        let parsed = server.address.parse::<SocketAddr>();
        if parsed.is_ok_and(|a| a.port() == 0 || a.ip().is_unspecified()) {
            let reason = format!("the address {} can not be connected to", server.address);
            c.error("servers", &server.name, reason);
        }
        if let Some(engine) = &server.engine {
            c.find_repeated("servers", &server.name, "models", &engine.models);
        }
    }
}

fn find_in_organisations(c: &mut Collector<'_>) {
    let document = c.document;
    for organisation in &document.organisations {
        let name = &organisation.name;
        c.find_repeated("organisations", name, "models", &organisation.models);
        c.find_repeated("organisations", name, "services", &organisation.services);
        if let Some(rank) = &organisation.rank {
            if document.rank_index(rank).is_none() {
                let reason = format!(
                    "rank {rank:?} does not exist in ranks, and the most urgent one would apply"
                );
                c.error("organisations", name, reason);
            } else if document.routes.is_empty() {
                let reason =
                    format!("rank {rank:?} has no effect, since it applies to routes only");
                c.warn("organisations", name, reason);
            }
        }
        let granted = !organisation.models.is_empty() || !organisation.services.is_empty();
        if !granted && document.routes.is_empty() {
            c.warn("organisations", name, "it may request no model and call no service".to_owned());
        }
    }
}

fn find_in_limits(c: &mut Collector<'_>, instances: &[Settings]) {
    let limits = &c.document.limits;
    for instance in instances {
        let memory = instance.memory_mb.saturating_mul(MB_BYTES) / BODY_MEMORY_DIVISOR;
        if limits.body_bytes > memory {
            let reason = format!(
                "body_bytes {} is above the {memory} bytes that instance {:?} has for all bodies, a quarter of its memory_mb {}",
                limits.body_bytes, instance.instance, instance.memory_mb
            );
            c.warn("limits", "body_bytes", reason);
        }
    }
    if limits.key_bytes >= limits.header_bytes {
        let reason = format!(
            "a key of key_bytes {} does not fit in header_bytes {}",
            limits.key_bytes, limits.header_bytes
        );
        c.warn("limits", "key_bytes", reason);
    }
}

fn find_in_routing(c: &mut Collector<'_>) {
    let routing = &c.document.routing;
    if routing.retries > 0 && !has_retries(c.document) {
        let reason = format!(
            "retries {} has no effect on requests that reached a server, since retry_percent and retry_slack are 0",
            routing.retries
        );
        c.warn("routing", "retries", reason);
    }
    let record_ms = u64::from(routing.record_hours) * HOUR_MS;
    if routing.repeat_ms > record_ms {
        let reason = format!(
            "repeat_ms {} is above record_hours {}, so a call waits for a record that is no longer kept",
            routing.repeat_ms, routing.record_hours
        );
        c.warn("routing", "repeat_ms", reason);
    }
}
