//! Starts, wakes and ends the tasks that dial peers.
//!
//! A task wakes when a link to its peer begins or ends. Each of these tasks polled its link every 300 ms before, which at 300 peers
//! was a third to half of all wake-ups of an instance.

use std::sync::{Arc, Mutex, PoisonError};

use agateroute_core::{Id, Table};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

#[derive(Debug)]
struct Dialer {
    /// The instance that answered at the address. It may call itself by another address.
    peer: Option<Id>,
    /// Whether the address comes from the list of instances, not from the settings.
    listed: bool,
    task: DialTask,
}

/// What a task that dials an address waits for.
#[derive(Clone, Debug)]
pub struct DialTask {
    /// Notified when a link to the peer begins or ends.
    pub wake: Arc<Notify>,
    /// Cancelled when the address is no longer dialed. Links that the task has made stay.
    pub end: CancellationToken,
}

/// The tasks that dial peers, by the address that they dial.
#[derive(Debug, Default)]
pub struct Dialers {
    tasks: Mutex<Table<String, Dialer>>,
}

impl Dialers {
    /// Registers an address that is dialed until `cancel`. Returns its task unless there is one already.
    pub fn register(&self, address: &str, cancel: &CancellationToken) -> Option<DialTask> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        start(&mut tasks, address, false, cancel)
    }

    /// Registers the addresses in the list of instances, and returns the tasks to start. Ends those of addresses that are no longer
    /// listed and to which there is no link; `linked` tells that of an address and of the instance that answered there. Instances
    /// are replaced for weeks under new addresses, and each former address was dialed for as long as the process ran.
    pub fn set_listed(
        &self,
        listed: &[String],
        cancel: &CancellationToken,
        linked: impl Fn(&str, Option<Id>) -> bool,
    ) -> Vec<(String, DialTask)> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|address, dialer| {
            let keep = !dialer.listed || listed.contains(address) || linked(address, dialer.peer);
            if !keep {
                dialer.task.end.cancel();
            }
            keep
        });
        let started = listed.iter().filter_map(|address| {
            Some((address.clone(), start(&mut tasks, address, true, cancel)?))
        });
        started.collect()
    }

    /// Records which instance answered at an address.
    pub fn set_peer(&self, address: &str, peer: Id) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(dialer) = tasks.get_mut(&address.to_owned()) {
            dialer.peer = Some(peer);
        }
    }

    /// Wakes the tasks whose peer this is, after a link to it began or ended.
    pub fn wake(&self, peer: Id, address: &str) {
        let tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for (dialed, dialer) in tasks.iter() {
            if dialed == address || dialer.peer == Some(peer) {
                dialer.task.wake.notify_one();
            }
        }
    }
}

fn start(
    tasks: &mut Table<String, Dialer>,
    address: &str,
    listed: bool,
    cancel: &CancellationToken,
) -> Option<DialTask> {
    let address = address.to_owned();
    if tasks.contains(&address) {
        return None;
    }
    let task = DialTask { wake: Arc::default(), end: cancel.child_token() };
    tasks.insert(address, Dialer { peer: None, listed, task: task.clone() });
    Some(task)
}
