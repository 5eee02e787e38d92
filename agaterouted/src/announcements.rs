//! Announces servers that leave to all peers, once for the whole fleet.
//!
//! Each follower announced each leaving server to all instances before, which at 300 instances with 10 followers were 3,000
//! messages for a server. In a large fleet the first follower does it, and the others only if it has not.

use std::sync::{Arc, Mutex, PoisonError};

use agateroute_core::id::Millis;
use agateroute_core::{Id, Table};

use crate::daemon::{Daemon, millis};
use crate::readers;

/// How long the others wait for the announcement of the first follower.
const FIRST_FOLLOWER_MS: Millis = 300;
/// How long an announcement counts: followers read a change within their pause and the wait of one read.
const RETENTION_MS: Millis = 5_000;

/// The servers that another follower has announced lately, and when.
#[derive(Debug, Default)]
pub struct Announcements {
    heard: Mutex<Table<Id, Millis>>,
}

impl Announcements {
    /// Records that a follower has announced that a server leaves.
    pub fn record(&self, server: Id, now: Millis) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.retain(|_, at| now < *at + RETENTION_MS);
        heard.insert(server, now);
    }

    /// Whether a server was announced lately.
    pub fn contains(&self, server: Id, now: Millis) -> bool {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.get(&server).is_some_and(|at| now < *at + RETENTION_MS)
    }
}

/// Records a message that a server leaves, if it went to all instances: a follower sent it, or this instance got it without being the
/// owner of the server.
pub fn heard(daemon: &Daemon, peer: Id, server: Id) {
    let me = daemon.identity.id();
    if readers::followers(daemon).contains(&peer) || daemon.read(|s| s.owner_of(server)) != me {
        daemon.announcements.record(server, daemon.now());
    }
}

/// Closes a server that leaves to new work here, and announces it to all peers unless the first follower does.
pub fn announce_leaving(daemon: &Arc<Daemon>, server: Id) {
    daemon.mark_leaving(server);
    let me = daemon.identity.id();
    let all = !daemon.read(|state| state.membership.is_large());
    if all || readers::followers(daemon).first() == Some(&me) {
        daemon.broadcast_leaving(server);
        return;
    }
    let daemon = daemon.clone();
    tokio::spawn(async move {
        // Where no follower answers, several clients read the list at once.
        let pause = millis(FIRST_FOLLOWER_MS).mul_f64(rand::random_range(1.0..1.5));
        tokio::time::sleep(pause).await;
        if !daemon.announcements.contains(server, daemon.now()) {
            daemon.broadcast_leaving(server);
        }
    });
}
