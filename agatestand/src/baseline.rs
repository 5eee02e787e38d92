//! Baseline load balancers that send requests directly to backend servers, for comparison.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Semaphore;

/// Policy of a baseline load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Requests go to each server in turn.
    RoundRobin,
    /// A request goes to the server with the fewest outstanding requests.
    LeastOutstanding,
    /// At most this many requests per server. Further requests wait in order of arrival.
    FixedSlots(usize),
}

/// Load balancer over a list of servers. Clones share its state.
#[derive(Clone, Debug)]
pub struct Balancer {
    policy: Policy,
    servers: Arc<[String]>,
    outstanding: Arc<Mutex<Requests>>,
    slots: Arc<Semaphore>,
}

/// Number of outstanding requests of each server, and the position of the next server in turn.
#[derive(Debug, Default)]
struct Requests {
    next: usize,
    counts: Vec<usize>,
}

/// Outstanding request on a server, counted until this is dropped.
#[derive(Debug)]
pub struct ServerSlot {
    /// Address of the server that got the request.
    pub address: String,
    at: usize,
    balancer: Balancer,
    _permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl Balancer {
    /// Creates a load balancer over some servers.
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

    /// Picks a server by the policy. With [`Policy::FixedSlots`], waits until a slot is free.
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
