//! The memory for requests that are being read, with a clock of its own. Guards against callers who keep their place with a
//! trickle of bytes, while others find none.

use std::sync::Arc;
use std::time::Duration;

use agaterouted::body_memory::{BodyMemory, BodyReader};

/// The memory of the process in bytes.
const MEMORY_BYTES: usize = 8 << 20;
/// The longest body that is allowed.
const MAX_BYTES: usize = 1 << 20;

/// Reads a body for five seconds, in which this many bytes arrive each half a second.
async fn read_slowly(memory: &Arc<BodyMemory>, bytes: usize) -> BodyReader {
    let reader = memory.open();
    for _ in 0..10 {
        tokio::time::advance(Duration::from_millis(500)).await;
        reader.push(&vec![b'x'; bytes], MAX_BYTES, MAX_BYTES).expect("room");
    }
    reader
}

#[tokio::test(start_paused = true)]
async fn trickle_gives_way() {
    let memory = BodyMemory::new(MEMORY_BYTES);
    let reader = read_slowly(&memory, 1_024).await;
    assert!(memory.end_stalled(), "it brought 2 KiB a second");
    reader.gave_way().await;
    assert!(reader.push(b"x", MAX_BYTES, MAX_BYTES).is_err());
}

#[tokio::test(start_paused = true)]
async fn steady_body_stays() {
    let memory = BodyMemory::new(MEMORY_BYTES);
    let reader = read_slowly(&memory, 32 * 1_024).await;
    assert!(!memory.end_stalled(), "it brought 64 KiB a second");
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(memory.end_stalled(), "it brought nothing for two seconds");
    drop(reader);
}

#[tokio::test(start_paused = true)]
async fn slowest_first() {
    let memory = BodyMemory::new(MEMORY_BYTES);
    let (slower, slow) = tokio::join!(read_slowly(&memory, 1_024), async {
        let reader = memory.open();
        reader.push(&[b'x'; 40 * 1_024], MAX_BYTES, MAX_BYTES).expect("room");
        reader
    });
    slow.push(&[b'x'; 1_024], MAX_BYTES, MAX_BYTES).expect("room");
    assert!(memory.end_stalled());
    slower.gave_way().await;
    slow.push(b"x", MAX_BYTES, MAX_BYTES).expect("its place");
}
