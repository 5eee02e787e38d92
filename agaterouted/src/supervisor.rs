//! Keeps the long-running tasks of an instance running.
//!
//! A task that has ended because of an unexpected error would leave an instance that looks alive and no longer follows
//! its document, its servers or its peers.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

/// The pause before a task is started again, so that an error that repeats does not take the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task until cancelled, and starts it again if it panics or ends before.
pub async fn keep<F>(name: &'static str, cancel: CancellationToken, start: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    loop {
        let ended = AssertUnwindSafe(start()).catch_unwind().await;
        if cancel.is_cancelled() {
            return;
        }
        let panicked = ended.is_err();
        spdlog::error!("task_ended", kv: { task: = name, panicked });
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(RESTART_PAUSE) => {}
        }
    }
}
