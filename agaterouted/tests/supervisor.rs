//! Tasks that panic or end are started again. Guards against an instance that looks alive after an unexpected error
//! and no longer follows its document or its servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use agaterouted::supervisor::keep;
use tokio_util::sync::CancellationToken;

#[tokio::test]
async fn started_again() {
    let cancel = CancellationToken::new();
    let starts = Arc::new(AtomicU32::new(0));
    let task = keep("test", cancel.clone(), || {
        let (starts, cancel) = (starts.clone(), cancel.clone());
        async move {
            match starts.fetch_add(1, Ordering::Relaxed) {
                0 => panic!("an unexpected error"),
                1 => {}
                _ => cancel.cancel(),
            }
        }
    });
    task.await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn ends_when_cancelled() {
    let cancel = CancellationToken::new();
    cancel.cancel();
    keep("test", cancel, || async {}).await;
}
