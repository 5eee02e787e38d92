//! Serves calls that may not be repeated: claims the idempotency key, sends the call once, records the
//! answer, and replays it when the key is used again. See `docs/DESIGN.md`, "At most once".

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_config::digest::hex_digest;
use agateroute_config::service::Service;
use agateroute_core::event::{End, RequestSpec, ServerSignal};
use agateroute_proto::peers::{Claim, ClaimOutcome};
use agateroute_storage::calls::{CallRecord, CallState, RecordedResponse, row_name, settled_tag};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::oneshot;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

use crate::call::{Attempt, CallRequest, acquire, send_call};
use crate::clock::unix_millis;
use crate::daemon::{Daemon, millis};
use crate::error::ApiError;
use crate::plain::is_forwarded;
use crate::request_tracker::{FinalOutcome, Tracker};

/// The header of an answer that was recorded for an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotent-replayed";
/// An open claim expires this long after the target of the rank and the timeout of the service.
const ATTEMPT_MARGIN: Duration = Duration::from_secs(5);
/// How long to try to write the outcome of a call.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(900);
/// The pause between two attempts to claim a key that another call holds.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The outcome of a call with a longer answer is recorded as unknown.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

type FullAnswer = (StatusCode, HeaderMap, Bytes);

/// A call that owns all its data, since it continues after its caller disconnects.
struct DetachedCall {
    daemon: Arc<Daemon>,
    tracker: Tracker,
    service: Service,
    spec: RequestSpec,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    row: String,
    record: CallRecord,
}

/// Serves one call. It continues if the caller disconnects, so that its outcome is recorded.
pub async fn serve(
    daemon: &Arc<Daemon>,
    tracker: Tracker,
    service: &Service,
    spec: RequestSpec,
    req: &CallRequest<'_>,
    key: &str,
) -> Result<WebResponse, ApiError> {
    let organisation = &tracker.identity.organisation;
    let digest = hex_digest(&[req.method.as_str(), " ", req.full_path, "\n"].concat().into_bytes());
    let digest = hex_digest(&[digest.as_bytes(), &req.body].concat());
    let now = unix_millis();
    let config = daemon.config();
    let rank = config.document.ranks.get(usize::from(spec.rank));
    let timeout_ms = rank.map_or(0, |r| r.answer_ms) + service.timeout_ms;
    let record = CallRecord {
        state: CallState::Open,
        attempt: format!("{:032x}", rand::random::<u128>()),
        digest,
        organisation: organisation.to_string(),
        service: service.name.clone(),
        kind: tracker.identity.kind.to_string(),
        key: key.to_owned(),
        instance: daemon.identity.name.clone(),
        at: now,
        until: now + timeout_ms + ATTEMPT_MARGIN.as_millis() as u64,
        answer: None,
    };
    let call = DetachedCall {
        daemon: daemon.clone(),
        row: row_name(organisation, &service.name, key),
        tracker,
        service: service.clone(),
        spec,
        method: req.method.clone(),
        path: req.full_path.to_owned(),
        headers: req.headers.clone(),
        body: req.body.clone(),
        record,
    };
    let (sender, answer) = oneshot::channel();
    tokio::spawn(async move {
        let _ = sender.send(call.run().await);
    });
    let lost = |_| Err(ApiError::unknown("the call ended without an answer"));
    let (status, headers, body) = answer.await.unwrap_or_else(lost)?;
    let mut response = WebResponse::new(ResponseBody::from(body));
    *response.status_mut() = status;
    response.headers_mut().extend(headers);
    Ok(response)
}

impl DetachedCall {
    async fn run(mut self) -> Result<FullAnswer, ApiError> {
        let result = self.claim_and_run().await;
        if let Err(error) = &result {
            let outcome = match error.outcome {
                crate::error::Outcome::NotRun => FinalOutcome::NotRun,
                crate::error::Outcome::Partial => FinalOutcome::Partial,
                crate::error::Outcome::Unknown => FinalOutcome::Unknown,
            };
            self.tracker.close(outcome);
        } else {
            self.tracker.close_answer();
        }
        result
    }

    /// Claims the key and runs the call, or replays the answer recorded under the key.
    async fn claim_and_run(&mut self) -> Result<FullAnswer, ApiError> {
        let config = self.daemon.config();
        let routing = &config.document.routing;
        let wait_until = Instant::now() + millis(routing.repeat_ms);
        let mut replaces = String::new();
        loop {
            let claim = self.claim(&replaces, false, routing.claim_ms as u32);
            let (outcome, existing) = self.daemon.claim(claim).await;
            match outcome {
                ClaimOutcome::Won => return self.execute().await,
                ClaimOutcome::Lost => {}
                ClaimOutcome::Unavailable | ClaimOutcome::Unspecified => {
                    self.settle(CallState::NotRun, None);
                    return Err(unavailable());
                }
            }
            let Ok(found) = serde_json::from_str::<CallRecord>(&existing) else {
                return Err(ApiError::unknown("the record of this key can not be read"));
            };
            if found.digest != self.record.digest {
                let message = "this Idempotency-Key was used for another request";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                return Err(ApiError::not_run(status, "key_reused", message));
            }
            match found.state {
                CallState::Answered => return replay(found.answer.as_ref()),
                CallState::Unknown => return Err(outcome_unknown()),
                CallState::NotRun => replaces = settled_tag(&found.attempt),
                CallState::Open if unix_millis() > found.until => return Err(outcome_unknown()),
                CallState::Open if Instant::now() > wait_until => return Err(in_progress()),
                CallState::Open => {
                    replaces.clear();
                    tokio::time::sleep(CLAIM_POLL_INTERVAL).await;
                }
            }
        }
    }

    fn claim(&self, replaces: &str, settle: bool, wait_ms: u32) -> Claim {
        Claim {
            request: self.daemon.next_request_id(),
            row: self.row.clone(),
            attempt: self.record.attempt.clone(),
            digest: self.record.digest.clone(),
            record: serde_json::to_string(&self.record).unwrap_or_default(),
            settle,
            replaces: replaces.to_owned(),
            wait_ms,
        }
    }

    /// Records the outcome of the call. The write continues after the caller has its answer.
    fn settle(&mut self, state: CallState, answer: Option<RecordedResponse>) -> SettleHandle {
        self.record.state = state;
        self.record.answer = answer;
        let claim = self.claim("", true, SETTLE_TIMEOUT.as_millis() as u32);
        let daemon = self.daemon.clone();
        let row = self.row.clone();
        SettleHandle(tokio::spawn(async move {
            let (outcome, _) = daemon.claim(claim).await;
            if outcome == ClaimOutcome::Unavailable {
                spdlog::error!("record_not_written", kv: { row: = row.as_str() });
            }
        }))
    }

    /// Sends the call until one server may have run it, and records the outcome.
    async fn execute(&mut self) -> Result<FullAnswer, ApiError> {
        let mut permit = self.daemon.enqueue(self.spec.clone());
        loop {
            let server = match acquire(&self.daemon, &mut permit, &mut self.tracker, false).await {
                Ok(Some(server)) => server,
                Ok(None) => continue,
                Err(error) => {
                    self.settle(CallState::NotRun, None);
                    return Err(error);
                }
            };
            let started = Instant::now();
            let req = CallRequest {
                method: &self.method,
                service: &self.service.name,
                path: &self.path,
                full_path: &self.path,
                headers: &self.headers,
                body: self.body.clone(),
            };
            let sent = send_call(&self.daemon, &server, &self.service, &req, &self.tracker, None);
            match sent.await {
                Attempt::NotStarted(signal) => permit.end(End::NotStarted { signal }),
                Attempt::Unknown => {
                    permit.end(End::Lost { tokens: 0, signal: ServerSignal::None, retry: false });
                    return self.settle_unknown().await;
                }
                Attempt::Answered(response) => {
                    let limit = millis(self.service.timeout_ms);
                    let read = tokio::time::timeout(limit, read_answer(response)).await;
                    let Ok(Some((status, headers, body))) = read else {
                        permit.end(End::Lost {
                            tokens: 0,
                            signal: ServerSignal::None,
                            retry: false,
                        });
                        return self.settle_unknown().await;
                    };
                    let took_ms = started.elapsed().as_millis() as u32;
                    permit.end(End::Completed { tokens: 0, took_ms });
                    return self.settle_answered(status, headers, body).await;
                }
            }
        }
    }

    async fn settle_unknown(&mut self) -> Result<FullAnswer, ApiError> {
        let handle = self.settle(CallState::Unknown, None);
        handle.wait(self.claim_timeout()).await;
        Err(outcome_unknown())
    }

    async fn settle_answered(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<FullAnswer, ApiError> {
        let handle =
            self.settle(CallState::Answered, Some(RecordedResponse::new(status, &headers, &body)));
        handle.wait(self.claim_timeout()).await;
        Ok((status, headers, body))
    }

    fn claim_timeout(&self) -> Duration {
        millis(self.daemon.config().document.routing.claim_ms)
    }
}

/// The write of a record, in its own task.
struct SettleHandle(tokio::task::JoinHandle<()>);

impl SettleHandle {
    /// Waits for the write, but does not delay the caller's answer further than `timeout`.
    async fn wait(self, timeout: Duration) {
        let _ = tokio::time::timeout(timeout, self.0).await;
    }
}

async fn read_answer(response: hyper::Response<Incoming>) -> Option<FullAnswer> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?.to_bytes();
    let forwarded = head.headers.iter().filter(|(n, _)| is_forwarded(n.as_str()));
    let headers = forwarded.map(|(n, v)| (n.clone(), v.clone())).collect();
    Some((head.status, headers, body))
}

fn replay(recorded: Option<&RecordedResponse>) -> Result<FullAnswer, ApiError> {
    let Some((status, mut headers, body)) = recorded.and_then(RecordedResponse::parts) else {
        return Err(ApiError::unknown("the recorded answer can not be read"));
    };
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    Ok((status, headers, body))
}

fn unavailable() -> ApiError {
    let message = "calls that may not be repeated can not be claimed at present";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut error = ApiError::not_run(status, "claims_unavailable", message);
    error.retry_ms = 1_000;
    error
}

fn outcome_unknown() -> ApiError {
    ApiError::unknown("a backend server got this call and did not answer; it is never repeated")
}

fn in_progress() -> ApiError {
    let mut error = ApiError::unknown("a call with this Idempotency-Key is still in progress");
    error.status = StatusCode::CONFLICT;
    error.code = "in_progress";
    error.retry_ms = 1_000;
    error
}
