//! Streams arrive complete although the link to the engine is cut or silent. Guards against lost, repeated or
//! foreign tokens after a resume, a crash that looks like a normal end, and work for callers who have disconnected.

mod harness;

use std::time::Duration;

use agatestand::engine::{Control, EngineOptions};
use agatestand::fault::Faults;
use harness::{Caller, Harness, StreamEnd, eventually, steady};
use serde_json::json;

async fn one_daemon(engines: &[EngineOptions]) -> Harness {
    let mut harness = Harness::new(engines, &[]).await;
    harness.start_daemon(false).await;
    harness
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_stream() {
    let harness = one_daemon(&[steady(40.0, 1)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 100).await;
    assert_eq!(stream.finish().await, StreamEnd::Complete);
    stream.check_tokens();
    assert_eq!(stream.tokens.len(), 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn unstreamed_response() {
    let harness = one_daemon(&[steady(12.0, 1)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    for (path, body, text) in [
        (
            "/v1/chat/completions",
            json!({"model": "prose:verse", "messages": [{"role": "user", "content": "x"}]}),
            "/choices/0/message/content",
        ),
        ("/v1/completions", json!({"model": "prose", "prompt": "x"}), "/choices/0/text"),
    ] {
        let response = caller.call("POST", path, &[], body.to_string()).await;
        assert_eq!(response.status, 200, "{response:?}");
        let value = response.json();
        let text = value.pointer(text).and_then(|t| t.as_str()).expect("a text");
        assert_eq!(text.split_whitespace().count(), 12);
        assert_eq!(value["usage"]["completion_tokens"], 12);
        assert_eq!(value["choices"][0]["finish_reason"], "stop");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_on_request() {
    let harness = one_daemon(&[steady(5.0, 1)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    for (options, expected) in [(json!(null), false), (json!({"include_usage": true}), true)] {
        let body =
            json!({"model": "prose", "stream": true, "prompt": "x", "stream_options": options});
        let response = caller.call("POST", "/v1/completions", &[], body.to_string()).await;
        let text = String::from_utf8(response.body.to_vec()).expect("a text");
        assert_eq!(text.contains("\"usage\""), expected, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_link_resumed() {
    let harness = one_daemon(&[steady(120.0, 5)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 200).await;
    for _ in 0..3 {
        for _ in 0..20 {
            stream.next_token().await.expect("a token");
        }
        harness.engine_proxies[0].cut_once();
    }
    assert_eq!(stream.finish().await, StreamEnd::Complete);
    stream.check_tokens();
    assert_eq!(stream.tokens.len(), 120);
    assert_eq!(harness.engines[0].started(), 1, "the generation was started anew");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_within_event() {
    let harness = one_daemon(&[steady(60.0, 2)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    // Cuts fall in the middle of events too.
    let faults = Faults { cut_after: Some(6_011), ..Faults::default() };
    harness.engine_proxies[0].set(faults);
    let mut stream = caller.generate("a draft", 100).await;
    assert_eq!(stream.finish().await, StreamEnd::Complete);
    stream.check_tokens();
    assert_eq!(stream.tokens.len(), 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_link() {
    let harness = one_daemon(&[steady(80.0, 5)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 100).await;
    for _ in 0..10 {
        stream.next_token().await.expect("a token");
    }
    harness.engine_proxies[0].set(Faults { hold_answers: true, ..Faults::default() });
    let mut waiting = tokio::spawn(async move {
        let end = stream.finish().await;
        (stream, end)
    });
    eventually("the silent link is cut", async || {
        harness.daemons[0].log.lock().expect("the log").iter().any(|l| l.contains("event=link_cut"))
    })
    .await;
    harness.engine_proxies[0].set(Faults::default());
    let (stream, end) = (&mut waiting).await.expect("the reader");
    assert_eq!(end, StreamEnd::Complete);
    stream.check_tokens();
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_mid_stream() {
    let harness = one_daemon(&[steady(4_000.0, 5)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 4_000).await;
    for _ in 0..10 {
        stream.next_token().await.expect("a token");
    }
    harness.engines[0].control(&Control::Crash);
    let end = stream.finish().await;
    assert_eq!(end, StreamEnd::Error("partial".to_owned()), "no error event");
    stream.check_tokens();
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_before_first_token() {
    // The engines are alike; the one that gets the request crashes before its first token.
    let slow = EngineOptions { step: Duration::from_millis(200), ..steady(10.0, 1) };
    let harness = one_daemon(&[slow.clone(), slow]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let reader = tokio::spawn(async move {
        let mut stream = caller.generate("a draft", 100).await;
        let end = stream.finish().await;
        (stream, end)
    });
    eventually("an engine has started", async || harness.engines.iter().any(|e| e.started() > 0))
        .await;
    let first = harness.engines.iter().find(|e| e.started() > 0).expect("an engine");
    first.control(&Control::Crash);
    let (stream, end) = reader.await.expect("the reader");
    assert_eq!(end, StreamEnd::Complete, "the request is started on the other engine");
    stream.check_tokens();
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let harness = one_daemon(&[steady(30_000.0, 2)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 30_000).await;
    stream.next_token().await.expect("a token");
    assert_eq!(harness.engines[0].load().running, 1);
    drop(stream);
    drop(caller);
    eventually("it is cancelled", async || harness.engines[0].load().running == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller() {
    let harness = one_daemon(&[steady(3_000.0, 1)]).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut slow = caller.generate("a draft", 3_000).await;
    slow.next_token().await.expect("a token");
    let other = Caller::new(&harness.daemons[0].listen, "box");
    for _ in 0..3 {
        let mut quick = other.generate("a quote", 50).await;
        assert_eq!(quick.finish().await, StreamEnd::Complete);
        quick.check_tokens();
    }
    assert_eq!(slow.finish().await, StreamEnd::Complete);
    slow.check_tokens();
}
