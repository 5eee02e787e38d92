//! Testbed of a soak: the simulated platform, instances as processes, and a proxy on each link.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use agateroute_standin::engine_front::{Copies, Front};
use agateroute_standin::{self as standin, Server, Store, engine_front};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::callers::{SoakState, Target};
use crate::checker::{Key, MAX_EVENTS, Part, REVOKE_TIMEOUT};
use crate::evacuations::{self, EVACUATIONS};
use crate::fault::{FaultProxy, Faults};
use crate::instance::{Instance, Launch};
use crate::soak::Options;
use crate::zones::{COLD_START, ZONE_BOUNDS};

/// Address at which nothing listens.
pub const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Versions of the software of model servers.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// API key that no version of the document withdraws.
const PERMANENT_KEY: &str = "yew-key";

/// Slot of an instance. It outlives the processes that run in it one after the other, and keeps
/// their links and settings.
#[derive(Debug)]
pub struct Slot {
    /// Running instance of the slot, if there is one.
    pub instance: Option<Instance>,
    /// Link from callers to the instance.
    pub caller_link: FaultProxy,
    /// Link from the instance to the table service.
    pub table_link: FaultProxy,
    /// Link from its peers to the instance.
    pub peer_link: FaultProxy,
    launch: Launch,
}

/// Backend server and the link to it.
#[derive(Debug)]
pub struct Backend {
    /// Simulated backend server.
    pub server: Server,
    /// Link from the instances to the server.
    pub link: FaultProxy,
    /// Link from the instance of each slot to the link of the server.
    slot_links: Vec<FaultProxy>,
    /// Front of a model server.
    front: Option<Front>,
    /// Ends the front with its server.
    _stop: DropGuard,
}

/// Platform, instances and backend servers of a soak.
#[derive(Debug)]
pub struct Testbed {
    /// Table service of the platform.
    pub store: Store,
    /// Table service that no instance reads. A server lists itself when it starts, at an address that has no proxy.
    unread: Store,
    /// Slots, each with at most one running instance.
    pub slots: Vec<Slot>,
    /// Backend servers that are listed on the platform.
    pub backends: Vec<Backend>,
    /// State shared with the callers.
    pub shared: SoakState,
    /// Log lines of instance processes that have ended.
    pub logs: Vec<String>,
    seed: u64,
    version: u64,
    /// Keys of the organisation `box` in the newest version of the document.
    keys: Vec<String>,
    servers: u64,
    /// Addresses at which servers were listed, with their names.
    listed: Vec<(SocketAddr, String)>,
    /// For each link of a server, what the instance of each slot sees in its place.
    seen: SeenAddresses,
    /// Faults between the instance of each slot and all servers.
    reach: Vec<Faults>,
    cancel: CancellationToken,
}

/// Addresses of servers' links, each with those that the instances of all slots see.
type SeenAddresses = Arc<Mutex<Vec<(SocketAddr, Vec<SocketAddr>)>>>;

async fn proxy(target: SocketAddr, cancel: &CancellationToken) -> Result<FaultProxy, String> {
    FaultProxy::start(target, cancel.clone()).await.map_err(|e| format!("proxy: {e}"))
}

fn parse(address: &str) -> Result<SocketAddr, String> {
    address.parse().map_err(|e| format!("address {address:?}: {e}"))
}

impl Testbed {
    /// Starts the platform and the backend servers, and prepares a slot for each instance.
    pub async fn new(options: &Options, cancel: &CancellationToken) -> Result<Testbed, String> {
        let &Options { seed, instances, ledgers, writers, .. } = options;
        let program = &options.program;
        let (store, unread) =
            (Store::start(cancel.clone()).await, Store::start(cancel.clone()).await);
        let mut slots = Vec::new();
        let seen: SeenAddresses = Arc::default();
        for slot in 0..instances {
            let seen = seen.clone();
            let view = move |_: &str, row: Value| seen_by(&seen, slot, row);
            let view = store.start_view(cancel.clone(), view).await;
            let table_link = proxy(view, cancel).await?;
            let launch = Launch {
                // The table service may have come back from a copy while no instance was running.
                first_start: false,
                zone_bounds: EVACUATIONS.then_some(ZONE_BOUNDS),
                ..Launch::new(program, table_link.address, REVOKE_TIMEOUT.as_millis() as u64)
            };
            let (caller_link, peer_link) =
                (proxy(UNUSED_ADDRESS, cancel).await?, proxy(UNUSED_ADDRESS, cancel).await?);
            slots.push(Slot { instance: None, caller_link, table_link, peer_link, launch });
        }
        let link_peers: Vec<(String, FaultProxy)> =
            slots.iter().map(|s| (s.launch.name.clone(), s.peer_link.clone())).collect();
        store.rewrite(move |row, content| rewrite_address(&link_peers, row, content));
        let target =
            |s: &Slot| Target { address: s.caller_link.address.to_string(), ready: false.into() };
        let shared = SoakState::new(slots.iter().map(target).collect());
        shared.checker().skip_timing = !options.check_timing;
        let cancel = cancel.clone();
        let (backends, logs) = (Vec::new(), Vec::new());
        let (version, servers, keys, listed) = (0, 0, Vec::new(), Vec::new());
        let mut testbed = Testbed {
            store,
            unread,
            slots,
            backends,
            shared,
            logs,
            seed,
            version,
            keys,
            servers,
            listed,
            seen,
            reach: vec![Faults::default(); instances],
            cancel,
        };
        testbed.shared.checker().keys.push(Key {
            secret: PERMANENT_KEY.to_owned(),
            organisation: "yew",
            added: None,
            withdrawn: None,
        });
        testbed.publish();
        for i in 0..ledgers + writers {
            let service = if i < ledgers { "ledger" } else { "writers" };
            let backend = testbed.start_backend(service, None).await?;
            testbed.backends.push(backend);
        }
        Ok(testbed)
    }

    /// Starts a server and lists it at the address of its proxy. One that starts during traffic is told the zone of the server
    /// that it replaces.
    pub async fn start_backend(
        &mut self,
        service: &str,
        zone: Option<&str>,
    ) -> Result<Backend, String> {
        self.servers += 1;
        let name = format!("server-{}-{}", self.seed, self.servers);
        let events = if service == "writers" { MAX_EVENTS } else { 0 };
        let (store, cancel) = (&self.store, &self.cancel);
        let mut server = Server::start(&self.unread, &name, service, events, cancel).await;
        let stop = cancel.child_token();
        let mut front = None;
        if events > 0 {
            let started = engine_front::start(server.address, Copies::Used, &stop).await;
            front = Some(started.map_err(|e| format!("front: {e}"))?);
        }
        let target = front.as_ref().map_or(server.address, |f| f.address);
        let link = proxy(target, cancel).await?;
        if events > 0 {
            // Two versions serve at all times, with no order: each server has the other one than the server before.
            let version = VERSIONS[self.servers as usize % VERSIONS.len()];
            server.set_version(version);
            self.shared.checker().record_server(&name, version);
        }
        let mut slot_links = Vec::new();
        for faults in &self.reach {
            let slot_link = proxy(link.address, cancel).await?;
            slot_link.set(*faults);
            slot_links.push(slot_link);
        }
        let addresses: Vec<SocketAddr> = slot_links.iter().map(|l| l.address).collect();
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).push((link.address, addresses));
        evacuations::prepare(&server, self.servers, zone, &mut self.shared.checker());
        server.list_at(store, link.address);
        self.listed.extend(slot_links.iter().map(|l| (l.address, name.clone())));
        self.listed.push((link.address, name));
        Ok(Backend { server, link, slot_links, front, _stop: stop.drop_guard() })
    }

    /// Sets the faults between the instance of a slot and all servers.
    pub fn set_reach(&mut self, slot: usize, faults: Faults) {
        self.reach[slot] = faults;
        self.backends.iter().for_each(|b| b.slot_links[slot].set(faults));
    }

    /// Ends the need of a server. Other faults of the server go on.
    pub fn end_need(&self, backend: usize) {
        let server = &self.backends[backend].server;
        let mut checker = self.shared.checker();
        server.name_limit(None);
        if checker.turns_away(&server.name) {
            server.turn_away(None);
        }
        checker.record_need_end(&server.name);
    }

    /// Ends the slowness of a server.
    pub fn end_slowness(&self, backend: usize) {
        let server = &self.backends[backend].server;
        server.set_slowness(None);
        self.shared.checker().record_fault_end(Part::Slow(server.name.clone()));
    }

    /// Publishes a version with a new key. It keeps the two newest keys and withdraws older ones.
    pub fn publish(&mut self) {
        self.version += 1;
        let live_keys: Vec<String> = {
            let checker = self.shared.checker();
            let mut live: Vec<&Key> =
                checker.keys.iter().skip(1).filter(|k| k.withdrawn.is_none()).collect();
            let surplus = live.len().saturating_sub(2);
            live.drain(..surplus).for_each(drop);
            live.iter().map(|k| k.secret.clone()).collect()
        };
        let new_key = format!("box-key-{}", self.version);
        let keys: Vec<String> = live_keys.iter().cloned().chain([new_key.clone()]).collect();
        self.keys = keys;
        self.publish_again();
        let now = std::time::Instant::now();
        let mut checker = self.shared.checker();
        for key in checker.keys.iter_mut().skip(1) {
            if key.withdrawn.is_none() && !live_keys.contains(&key.secret) {
                key.withdrawn = Some(now);
            }
        }
        checker.keys.push(Key {
            secret: new_key,
            organisation: "box",
            added: Some(now),
            withdrawn: None,
        });
    }

    /// Publishes the newest version once more, as an operator does whose write was lost.
    pub fn publish_again(&self) {
        match EVACUATIONS {
            true => standin::publish_cold(&self.store, self.version, &self.keys, COLD_START),
            false => standin::publish_keys(&self.store, self.version, &self.keys),
        }
    }

    /// Starts an instance in a slot and directs its callers to it.
    pub async fn start(&mut self, slot: usize) -> Result<(), String> {
        let entry = &mut self.slots[slot];
        let instance = Instance::start(entry.launch.clone()).await?;
        entry.caller_link.retarget(parse(&instance.listen)?);
        entry.instance = Some(instance);
        Ok(())
    }

    /// Kills the process of a slot. The proxies are redirected, since another process may get its ports.
    pub fn kill(&mut self, slot: usize) {
        self.shared.checker().record_stop_end(slot);
        let entry = &mut self.slots[slot];
        entry.caller_link.retarget(UNUSED_ADDRESS);
        entry.peer_link.retarget(UNUSED_ADDRESS);
        if let Some(ended) = entry.instance.take() {
            self.logs.extend(ended.lines());
        }
    }

    /// Changes a bound in the settings of a running instance and tells it so.
    pub fn reload(&self, slot: usize, revoke_ms: u64) {
        let Some(instance) = &self.slots[slot].instance else { return };
        let launch = Launch { revoke_ms, ..instance.launch.clone() };
        if launch.write_settings().is_ok() {
            instance.signal(Signal::HUP);
        }
    }

    /// Checks the runs of all servers since the last call.
    pub fn check_runs(&self) {
        for backend in &self.backends {
            self.check_backend_runs(backend);
        }
    }

    /// Checks the runs of one server since the last call.
    pub fn check_backend_runs(&self, backend: &Backend) {
        for arrival in backend.server.take_arrivals() {
            self.shared.checker().record_arrival(&backend.server.name, &arrival);
        }
        for fall in backend.server.take_falls() {
            self.shared.checker().record_fall(&backend.server.name, fall);
        }
        if backend.server.has_said_leaving() {
            self.shared.checker().record_said_leaving(&backend.server.name);
        }
        for run in backend.server.take_runs() {
            self.shared.checker().check_run(&backend.server.name, &backend.server.service, &run);
        }
        for (id, to) in backend.front.iter().flat_map(Front::take_stopped) {
            if let Some((_, server)) = self.listed.iter().find(|(address, _)| *address == to) {
                self.shared.checker().record_move(&id, server);
            }
        }
    }
}

/// Replaces the address in the row of a server by the one that the instance of a slot sees.
fn seen_by(seen: &SeenAddresses, slot: usize, mut row: Value) -> Value {
    let listed = row["Address"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some((_, addresses)) = seen.iter().find(|(link, _)| Some(*link) == listed) {
        row["Address"] = json!(addresses[slot].to_string());
    }
    row
}

/// Replaces the peer address in the row of an instance by the address of its proxy, and directs the
/// proxy to the original address. The value of the row is JSON in a string.
fn rewrite_address(proxies: &[(String, FaultProxy)], row: &str, mut content: Value) -> Value {
    let Some((_, link)) = proxies.iter().find(|(name, _)| name == row) else { return content };
    let text = content["value"].as_str().unwrap_or_default();
    let Ok(mut value) = serde_json::from_str::<Value>(text) else { return content };
    let Some(address) = value["address"].as_str().and_then(|a| a.parse().ok()) else {
        return content;
    };
    link.retarget(address);
    value["address"] = json!(link.address.to_string());
    content["value"] = json!(value.to_string());
    content
}
