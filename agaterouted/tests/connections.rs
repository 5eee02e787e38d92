//! The bound on connections of callers, with a clock of its own. Guards against callers who keep the memory of their answer
//! by reading a trickle of it.

use std::sync::Arc;
use std::time::Duration;

use agaterouted::connections::{Connection, Connections, Waits};

const MEMORY_BYTES: usize = 64 << 20;
const DESCRIPTORS: usize = 1_024;

/// Opens a connection whose caller reads this many bytes of its answer each half a second, for five seconds.
async fn read_slowly(connections: &Arc<Connections>, bytes: usize) -> Connection {
    let (connection, _) = connections.open(|| false).expect("room");
    connection.set_waits(Waits::Caller);
    for _ in 0..10 {
        tokio::time::advance(Duration::from_millis(500)).await;
        connection.wrote(bytes);
    }
    connection
}

#[tokio::test(start_paused = true)]
async fn trickle_gives_way() {
    let connections = Connections::new(MEMORY_BYTES, DESCRIPTORS);
    let connection = read_slowly(&connections, 1_024).await;
    assert!(connections.close_unread(), "its caller read 2 KiB a second");
    assert!(connection.close.is_cancelled());
}

#[tokio::test(start_paused = true)]
async fn steady_reader_stays() {
    let connections = Connections::new(MEMORY_BYTES, DESCRIPTORS);
    let connection = read_slowly(&connections, 32 * 1_024).await;
    assert!(!connections.close_unread(), "its caller read 64 KiB a second");
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(connections.close_unread(), "its caller read nothing for two seconds");
    assert!(connection.close.is_cancelled());
}

#[tokio::test(start_paused = true)]
async fn next_answer_counts_anew() {
    let connections = Connections::new(MEMORY_BYTES, DESCRIPTORS);
    let connection = read_slowly(&connections, 1_024).await;
    connection.set_waits(Waits::Request);
    connection.set_waits(Waits::Caller);
    assert!(!connections.close_unread(), "this answer has just begun");
}
