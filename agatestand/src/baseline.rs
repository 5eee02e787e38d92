//! Baselines: policies that spread requests over backend servers without agateroute.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Semaphore;

/// A baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One server after the other.
    RoundRobin,
    /// The server with the fewest requests outstanding.
    LeastOutstanding,
    /// At most this many requests on each server; more wait in order of arrival.
    FixedSlots(usize),
}

/// The state of a policy over a list of servers.
#[derive(Clone, Debug)]
pub struct Balancer {
    policy: Policy,
    servers: Arc<[String]>,
    outstanding: Arc<Mutex<Requests>>,
    slots: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct Requests {
    next: usize,
    counts: Vec<usize>,
}

/// A place on a server, given back when it is dropped.
#[derive(Debug)]
pub struct ServerSlot {
    /// The server's address.
    pub address: String,
    at: usize,
    balancer: Balancer,
    _permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl Balancer {
    /// A policy over some servers.
    pub fn new(policy: Policy, servers: &[String]) -> Balancer {
        let slots = match policy {
            Policy::FixedSlots(slots) => slots * servers.len(),
            _ => Semaphore::MAX_PERMITS,
        };
        let counts = vec![0; servers.len()];
        Balancer {
            policy,
            servers: servers.into(),
            outstanding: Arc::new(Mutex::new(Requests { next: 0, counts })),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    /// Waits for a place.
    pub async fn pick(&self) -> ServerSlot {
        let slot = match self.policy {
            Policy::FixedSlots(_) => self.slots.clone().acquire_owned().await.ok(),
            _ => None,
        };
        let mut state = self.outstanding.lock().unwrap_or_else(PoisonError::into_inner);
        state.next = (state.next + 1) % self.servers.len();
        let at = match self.policy {
            Policy::RoundRobin => state.next,
            Policy::LeastOutstanding | Policy::FixedSlots(_) => {
                let next = state.next;
                let order = (0..self.servers.len()).map(|i| (next + i) % self.servers.len());
                order.min_by_key(|i| state.counts[*i]).unwrap_or(0)
            }
        };
        state.counts[at] += 1;
        let address = self.servers[at].clone();
        ServerSlot { address, at, balancer: self.clone(), _permit: slot }
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        let mut state = self.balancer.outstanding.lock().unwrap_or_else(PoisonError::into_inner);
        state.counts[self.at] -= 1;
    }
}
