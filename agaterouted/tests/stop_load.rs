//! An instance stops while callers go on sending. Guards against requests that were just accepted and are cut off
//! without an answer, and against generations that wait for a permit and then start too late to finish, and against the
//! end of a request that may have run while it waits for another server.

mod platform_fixture;

use std::time::Duration;

use agateroute_standin as standin;
use agatestand::instance::{Answer, Instance, eventually, eventually_some, field};
use agatestand::load::client;
use futures_util::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use platform_fixture::{TestPlatform, start_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Callers that send one request after the other, each on a new connection.
const CALLERS: usize = 8;
/// The number of generations that a model server runs at the same time.
const SLOTS: usize = 4;
/// The length of a request body that arrives byte by byte, for longer than a stopping instance waits for others.
const BODY_BYTES: usize = 50;
const BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// The deadline of requests that a stopping instance still accepts, in milliseconds: it ends before the instance does.
const ENDING_DEADLINE_MS: u64 = 7_000;

/// Sends a request on a connection of its own. Returns whether it was written whole, and the answer.
async fn exchange(address: &str, id: &str) -> (bool, String) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return (false, String::new());
    };
    let request = format!(
        "POST /order/ HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\nauthorization: {}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::authorization("yew-key"),
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (false, String::new());
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    (true, String::from_utf8_lossy(&answer).into_owned())
}

/// Sends requests until the instance refuses connections. Returns the ids of those without a whole answer.
async fn keep_sending(address: &str, caller: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    for number in 0.. {
        let id = format!("stop-{caller}-{number}");
        match exchange(address, &id).await {
            (false, _) => break,
            (true, answer) if answer.is_empty() => unanswered.push(id),
            (true, answer) => assert!(answer.contains(&id), "{id}: {answer}"),
        }
    }
    unanswered
}

async fn stop(platform: &TestPlatform, instance: &mut Instance) -> bool {
    eventually_some("callers are served", async || {
        (platform.plain[0].runs().len() > 4 * CALLERS).then_some(())
    })
    .await;
    instance.terminate();
    eventually_some("the instance stops", async || instance.exit_success()).await
}

#[tokio::test]
async fn requests_until_the_end() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    let address = instance.listen.clone();
    let callers = join_all((0..CALLERS).map(|caller| keep_sending(&address, caller)));
    let (unanswered, exited) = tokio::join!(callers, stop(&platform, &mut instance));
    assert!(exited);
    let runs = platform.plain[0].runs();
    for id in unanswered.into_iter().flatten() {
        assert!(!runs.iter().any(|r| r.id == id), "{id} ran, and its caller got no answer");
    }
}

#[tokio::test]
async fn slow_body_arrives_whole() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    let mut stream = TcpStream::connect(&instance.listen).await.expect("a connection");
    let head = format!(
        "POST /order/ HTTP/1.1\r\nhost: {}\r\n{}: slow\r\n{}: {ENDING_DEADLINE_MS}\r\nauthorization: {}\r\ncontent-length: {BODY_BYTES}\r\nconnection: close\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::DEADLINE_HEADER,
        standin::authorization("yew-key"),
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    instance.terminate();
    for _ in 0..BODY_BYTES {
        tokio::time::sleep(BYTE_INTERVAL).await;
        stream.write_all(b"x").await.expect("a byte is sent");
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with(&format!("HTTP/1.1 {}", StatusCode::OK)), "{answer}");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

#[tokio::test]
async fn final_answer_before_the_end() {
    // The server never answers, and the caller would wait for longer than the instance may take to stop.
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    platform.plain[0].set_behaviour(standin::Behaviour::Hangs);
    let pending = instance.call("POST", "/order/", "yew-key", "");
    let running = async {
        eventually_some("the server runs it", async || {
            (!platform.plain[0].runs().is_empty()).then_some(())
        })
        .await;
        instance.terminate();
    };
    let (answer, ()) = tokio::join!(pending, running);
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "it may have run");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

/// Starts a generation with a prompt of 100 tokens and a limit on its output.
async fn generate(instance: &Instance, max_tokens: u32) -> Answer {
    generate_within(instance, max_tokens, 20_000).await
}

async fn generate_within(instance: &Instance, max_tokens: u32, deadline_ms: u64) -> Answer {
    let request = instance
        .without_deadline("POST", "/draft/", "yew-key")
        .header(standin::DEADLINE_HEADER, deadline_ms.to_string())
        .header(standin::SIZE_HEADER, format!("100,{max_tokens}"))
        .body(Full::default());
    instance.send(request.expect("a request")).await
}

/// Returns the number of requests that wait or run, from the metrics page.
async fn active_requests(instance: &Instance) -> Option<usize> {
    let ops = field(&instance.find("event=started")?, "ops");
    let request = Request::get(format!("http://{ops}/metrics")).body(Full::default()).ok()?;
    let page = client(false).request(request).await.ok()?.into_body().collect().await.ok()?;
    let page = String::from_utf8_lossy(&page.to_bytes()).into_owned();
    let line = page.lines().find(|l| l.starts_with("agateroute_active"))?.to_owned();
    line.split_whitespace().next_back()?.parse().ok()
}

/// Checks that a generation waited for a permit of the stopping instance and was then refused, not on its arrival.
async fn check_refused_waiting(instance: &Instance, answer: &Answer) {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert!(body.contains("\"stopping\""), "{body}");
    let request = format!("request={} ", answer.field(standin::REQUEST_ID_HEADER));
    let checks = async || {
        let lines = instance.lines();
        let checks = lines.into_iter().filter(|l| l.contains("event=stop_check"));
        let checks: Vec<String> = checks.filter(|l| l.contains(&request)).collect();
        checks.iter().any(|l| l.contains("waiting=true")).then_some(checks)
    };
    let checks = eventually_some("the refusal is logged", checks).await;
    let refused = checks.iter().filter(|l| l.contains("accepted=false")).count();
    assert_eq!(refused, 1, "only after it had waited: {checks:?}");
}

/// The generation whose slot is needed runs for 6 of the 7.4 s that a stopping instance has, and this one is answered whole
/// only if it starts within 2.3 s.
const LATE_TOKENS: u32 = 300;

// Guards against a generation that got its permit seconds after the order to stop and was cut off when the process
// ended: it was only checked on arrival whether it could still finish.
#[tokio::test]
async fn late_permit_not_used() {
    let platform = start_platform(0, 1, 300).await;
    let mut instance = platform.start_instance(5_000).await;
    let engine = &platform.engines[0];
    // They run for longer than their limit says, or the late one would be refused on arrival: its deadline is near.
    let running = join_all((0..SLOTS).map(|_| generate(&instance, 400)));
    let stop = async {
        eventually("all slots are taken", async || engine.runs().len() == SLOTS).await;
        instance.terminate();
        eventually("the order to stop has arrived", async || instance.logged("event=leaving"))
            .await;
        generate_within(&instance, LATE_TOKENS, ENDING_DEADLINE_MS).await
    };
    let (all, late) = tokio::join!(running, stop);
    assert!(all.iter().all(|a| a.complete), "they were running before the order to stop");
    check_refused_waiting(&instance, &late).await;
    assert_eq!(engine.runs().len(), SLOTS, "it ran, though it is answered as not run");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

// The same for a generation that had arrived before the order to stop, and was not checked at all.
#[tokio::test]
async fn late_permit_of_earlier_arrival() {
    let platform = start_platform(0, 1, 300).await;
    let mut instance = platform.start_instance(5_000).await;
    let engine = &platform.engines[0];
    let running = join_all((0..SLOTS).map(|_| generate(&instance, 1_200)));
    let stop = async {
        eventually("all slots are taken", async || engine.runs().len() == SLOTS).await;
        let terminate = async {
            eventually("it waits", async || active_requests(&instance).await == Some(SLOTS + 1))
                .await;
            instance.terminate();
        };
        tokio::join!(generate(&instance, LATE_TOKENS), terminate).0
    };
    let (all, late) = tokio::join!(running, stop);
    assert!(all.iter().all(|a| a.complete), "they were running before the order to stop");
    let leaving = instance.find("event=leaving").expect("the order to stop is logged");
    assert!(leaving.contains(&format!("active={} ", SLOTS + 1)), "{leaving}");
    check_refused_waiting(&instance, &late).await;
    assert_eq!(engine.runs().len(), SLOTS, "it ran, though it is answered as not run");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

// Guards against the end of a request that may have run while another server could still answer it: it can no longer be
// refused as not run, so the order to stop gains nothing from it.
#[tokio::test]
async fn lost_request_tried_again() {
    let platform = start_platform(0, 2, 10).await;
    let mut instance = platform.start_instance(5_000).await;
    platform.engines.iter().for_each(|s| s.set_behaviour(standin::Behaviour::Hangs));
    // Its limit on the output would not fit, even if it had started with the order to stop.
    let request = instance
        .request("POST", "/quote/", "yew-key")
        .header(standin::SIZE_HEADER, "100,4000")
        .body(Full::default());
    let pending = instance.send(request.expect("a request"));
    let lose = async {
        let running = async || platform.engines.iter().find(|s| !s.runs().is_empty()).cloned();
        let first = eventually_some("a server runs it", running).await;
        instance.terminate();
        eventually("the order to stop has arrived", async || instance.logged("event=leaving"))
            .await;
        platform.engines.iter().for_each(|s| s.set_behaviour(standin::Behaviour::Serves));
        first.crash();
    };
    let (answer, ()) = tokio::join!(pending, lose);
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert!(answer.complete, "{answer:?}");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

// Guards against a request that may have run and ends without an answer, while it waits for another server until the end.
#[tokio::test]
async fn lost_request_answered_at_end() {
    let platform = start_platform(0, 2, 600).await;
    let mut instance = platform.start_instance(5_000).await;
    let runs = || platform.engines.iter().map(|s| s.runs().len()).sum::<usize>();
    let all_but_one = join_all((1..2 * SLOTS).map(|_| generate(&instance, 4_000)));
    let lose = async {
        eventually("one slot is left", async || runs() == 2 * SLOTS - 1).await;
        platform.engines.iter().for_each(|s| s.set_behaviour(standin::Behaviour::Hangs));
        let last = instance.call("POST", "/quote/", "yew-key", "");
        let crash = async {
            eventually("all slots are taken", async || runs() == 2 * SLOTS).await;
            instance.terminate();
            let is_last = |s: &&standin::Server| s.runs().iter().any(|r| r.path == "/quote/");
            platform.engines.iter().find(is_last).expect("its server").crash();
        };
        tokio::join!(last, crash).0
    };
    let (_, last) = tokio::join!(all_but_one, lose);
    assert_eq!(last.status, StatusCode::BAD_GATEWAY, "it may have run: {last:?}");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}
