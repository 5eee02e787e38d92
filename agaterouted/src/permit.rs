//! What a request holds while it is queued, runs or arrives. Dropping it gives the place back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agateroute_core::effect::Refusal;
use agateroute_core::event::{End, ForwardEnd, RequestId};
use agateroute_core::retry::RetryDenial;
use agateroute_core::{Event, Id};
use tokio::sync::mpsc;

use crate::daemon::{Admission, Daemon};

/// A queued or running request in the reducer. Dropping it frees the queue place or the server.
#[derive(Debug)]
pub struct Permit {
    daemon: Arc<Daemon>,
    request: RequestId,
    admissions: mpsc::UnboundedReceiver<Admission>,
    running: bool,
    tokens: u32,
}

impl Permit {
    /// Creates the permit of a request that was queued, with the channel of the decisions about it.
    pub(crate) fn new(
        daemon: &Arc<Daemon>,
        request: RequestId,
        admissions: mpsc::UnboundedReceiver<Admission>,
    ) -> Permit {
        Permit { daemon: daemon.clone(), request, admissions, running: false, tokens: 0 }
    }

    /// The identifier of the request in the reducer.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Waits for the reducer's next decision about the request.
    pub async fn admission(&mut self) -> Admission {
        let admission = self.admissions.recv().await;
        let admission = admission.unwrap_or(Admission::Refuse(Refusal::Failed, 0));
        self.record(admission);
        admission
    }

    fn record(&mut self, admission: Admission) {
        match admission {
            Admission::Start(_) => self.running = true,
            Admission::Refuse(..) | Admission::Forward(_) => self.running = false,
            Admission::Move(..) => {}
        }
    }

    /// Reports that the generation's memory is copied to the destination of its move.
    pub fn move_copied(&mut self) {
        self.daemon.apply(Event::MoveCopied { request: self.request });
    }

    /// Reports the end of a move. If the generation moved, it takes the request identifier of the
    /// destination's permit.
    pub fn move_ended(&mut self, permit: RequestId, moved: bool) {
        let request = self.request;
        if moved {
            let mut inner = self.daemon.lock();
            if let Some(waiter) = inner.waiters.remove(&request) {
                inner.waiters.insert(permit, waiter);
            }
            self.request = permit;
        }
        self.daemon.apply(Event::MoveEnded { request, permit, moved });
    }

    /// Reports how a request ended that was handed to a peer. Another decision follows unless it has its final answer.
    pub fn forward_ended(&self, end: ForwardEnd) {
        self.daemon.apply(Event::ForwardEnded { request: self.request, end });
    }

    /// Reports to the reducer that the answer began.
    pub fn began(&self) {
        self.daemon.apply(Event::AnswerBegan { request: self.request });
    }

    /// Reports the number of tokens generated so far to the reducer.
    pub fn progress(&mut self, tokens: u32) {
        self.tokens = tokens;
        self.daemon.apply(Event::Progressed { request: self.request, tokens });
    }

    /// Reports the longest pause between events that came from the server.
    pub fn paused(&self, pause: Duration) {
        let gap_ms = pause.as_millis().min(u128::from(u32::MAX)) as u32;
        if gap_ms > 0 {
            self.daemon.apply(Event::Paused { request: self.request, gap_ms });
        }
    }

    /// Stores the number of tokens, which is reported only if the permit is dropped.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }

    /// Asks whether the attempt may be given up for another one. If so, the retry budget is charged, and the attempt has to
    /// be ended as lost.
    pub fn ask_retry(&self) -> Result<(), RetryDenial> {
        self.daemon.apply(Event::RetryAsked { request: self.request });
        self.daemon.read(|state| state.retry_decision(self.request))
    }

    /// Ends the attempt. Another decision follows if the request may be retried.
    pub fn end(&mut self, end: End) {
        if std::mem::take(&mut self.running) {
            self.daemon.apply(Event::Ended { request: self.request, end });
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let request = self.request;
        self.daemon.lock().waiters.remove(&request);
        while let Ok(admission) = self.admissions.try_recv() {
            self.record(admission);
        }
        if self.running {
            self.end(End::Cancelled { tokens: self.tokens });
        } else {
            self.daemon.apply(Event::Abandoned { request });
        }
    }
}

/// Counts a request as in progress, for the instance and its organisation, until dropped.
#[derive(Debug)]
pub struct ActiveGuard {
    daemon: Arc<Daemon>,
    organisation: Id,
}

impl ActiveGuard {
    /// Counts a request, unless its organisation already has `limit` requests in progress here.
    pub fn new(daemon: &Arc<Daemon>, organisation: Id, limit: u32) -> Option<ActiveGuard> {
        let mut inner = daemon.lock();
        let count = inner.active_counts.entry(organisation, || 0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        drop(inner);
        daemon.active.fetch_add(1, Ordering::AcqRel);
        daemon.telemetry.active.add(1, &[]);
        Some(ActiveGuard { daemon: daemon.clone(), organisation })
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut inner = self.daemon.lock();
        if let Some(count) = inner.active_counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                inner.active_counts.remove(&self.organisation);
            }
        }
        drop(inner);
        self.daemon.active.fetch_sub(1, Ordering::AcqRel);
        self.daemon.telemetry.active.add(-1, &[]);
    }
}

/// Counts a request on the product's own interface from its head to the start of its answer, until dropped.
#[derive(Debug)]
pub struct ArrivalGuard(Arc<Daemon>);

impl ArrivalGuard {
    /// Counts a request whose head has arrived.
    pub fn new(daemon: &Arc<Daemon>) -> ArrivalGuard {
        daemon.arriving.fetch_add(1, Ordering::AcqRel);
        ArrivalGuard(daemon.clone())
    }
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        self.0.arriving.fetch_sub(1, Ordering::AcqRel);
    }
}
