//! The HTTP front refuses unknown keys, ungranted models and services, oversized and malformed requests, and says
//! that they weren't run. Guards against such input reaching a backend server, or stopping the daemon.

mod harness;

use std::time::Duration;

use agatestand::service::ServiceOptions;
use bolero::check;
use harness::{Caller, Harness, api_key, steady};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Long enough that property tests end by their number of iterations, also on a slow machine.
const TEST_TIME: Duration = Duration::from_secs(600);

async fn one_daemon() -> Harness {
    let mut harness = Harness::new(&[steady(5.0, 1)], &[ServiceOptions::default()]).await;
    harness.start_daemon(false).await;
    harness
}

fn chat(extra: Value) -> String {
    let mut body = json!({"model": "prose", "messages": [{"role": "user", "content": "x"}]});
    for (key, value) in extra.as_object().into_iter().flatten() {
        body[key] = value.clone();
    }
    body.to_string()
}

/// Bad requests: method, path, body, and the expected status.
fn bad_requests() -> Vec<(&'static str, &'static str, Vec<u8>, u16)> {
    let chat_path = "/v1/chat/completions";
    let mut cases: Vec<(&str, &str, Vec<u8>, u16)> = Vec::new();
    let wrong_values = [
        json!({"stream": "yes"}),
        json!({"stream": 1}),
        json!({"stream": []}),
        json!({"stream_options": 1}),
        json!({"stream_options": {"include_usage": "x"}}),
        json!({"stream_options": []}),
        json!({"n": 2}),
        json!({"n": 0}),
        json!({"n": -1}),
        json!({"n": "1"}),
        json!({"max_tokens": 0}),
        json!({"max_tokens": -5}),
        json!({"max_tokens": 1.5}),
        json!({"max_tokens": "9"}),
        json!({"max_tokens": 1e300}),
        json!({"max_tokens": 99_999_999_999_u64}),
        json!({"max_completion_tokens": {}}),
        json!({"max_tokens": 40_000}),
        json!({"max_completion_tokens": 32_768}),
        json!({"model": 1}),
        json!({"model": null}),
        json!({"model": ["prose"]}),
        json!({"messages": "hello"}),
        json!({"messages": null}),
        json!({"messages": []}),
        json!({"messages": {}}),
        json!({"messages": [1]}),
        json!({"messages": [null]}),
        json!({"messages": ["x"]}),
        json!({"messages": [[]]}),
        json!({"messages": [{}]}),
        json!({"messages": [{"content": "x"}]}),
        json!({"messages": [{"role": 7, "content": "x"}]}),
    ];
    cases.extend(wrong_values.into_iter().map(|v| ("POST", chat_path, chat(v).into_bytes(), 400)));
    for name in ["verse", "prose:", "prose:none", ":verse", "", "prose:verse:x", "PROSE", " prose"]
    {
        cases.push(("POST", chat_path, chat(json!({"model": name})).into_bytes(), 404));
    }
    let not_objects: [&[u8]; 22] = [
        b"",
        b" ",
        b"{",
        b"}",
        b"[]",
        b"null",
        b"1",
        b"\"x\"",
        b"true",
        b"{]",
        b"{\"a\"}",
        b"{\"a\":}",
        b"{a:1}",
        b"{'a':1}",
        b"\xff\xfe",
        b"\0\0\0\0",
        b"{\"a\":1}}",
        b"{\"a\":1,}",
        b"nan",
        b"{\"a\":01}",
        b"\xef\xbb\xbf{}",
        b"{\"messages\":[",
    ];
    for path in [chat_path, "/v1/completions"] {
        cases.extend(not_objects.iter().map(|b| ("POST", path, b.to_vec(), 400)));
    }
    cases.push(("POST", chat_path, vec![b'['; 100_000], 400));
    cases.push(("POST", chat_path, b"{\"messages\":".repeat(2_000), 400));
    for prompt in [json!(null), json!(1), json!({}), json!(true)] {
        let body = json!({"model": "prose", "prompt": prompt}).to_string();
        cases.push(("POST", "/v1/completions", body.into_bytes(), 400));
    }
    for method in ["GET", "PUT", "DELETE", "PATCH", "OPTIONS"] {
        cases.push((method, chat_path, vec![], 405));
        cases.push((method, "/v1/completions", vec![], 405));
    }
    for method in ["POST", "PUT", "DELETE"] {
        cases.push((method, "/v1/models", vec![], 405));
    }
    for path in [
        "/",
        "/v1",
        "/v1/",
        "/v2/models",
        "/v1/chat",
        "/v1/chat/completions/",
        "/v1//models",
        "/v1/services",
        "/v1/embeddings",
        "/metrics",
        "/status",
        "/report",
        "/v1/%6dodels",
        "/v1/services/none/x",
        "/v1/services//x",
        "/v1/services/",
        "/v1/models/none",
        "/v1/services/orders/elsewhere",
        "/v1/services/orders/stockade",
        "/v1/services/orders",
    ] {
        cases.push(("GET", path, vec![], 404));
    }
    cases
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input() {
    let harness = one_daemon().await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let cases = bad_requests();
    assert!(cases.len() >= 100, "{} kinds of bad input", cases.len());
    for (method, path, body, status) in cases {
        let excerpt = String::from_utf8_lossy(&body).chars().take(80).collect::<String>();
        let response = caller.call(method, path, &[], body).await;
        assert_eq!(response.status, status, "{method} {path} {excerpt}: {response:?}");
        assert_eq!(response.outcome(), "not_run", "{method} {path} {excerpt}");
        let error = &response.json()["error"];
        assert!(error["message"].as_str().is_some_and(|m| !m.is_empty()), "{response:?}");
        assert_eq!(error["outcome"], "not_run");
        assert_eq!(error["request_id"], response.headers["x-request-id"].to_str().expect("an id"));
    }
    assert_eq!(harness.engines[0].started(), 0, "bad input reached the engine");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys() {
    let harness = one_daemon().await;
    let mut caller = Caller::new(&harness.daemons[0].listen, "yew");
    for key in ["", "yew", "yew-key ", "yew-keyx", "YEW-KEY", "\u{e9}", "a b"] {
        caller.key = key.to_owned();
        let expected = if key.trim() == api_key("yew") { 200 } else { 401 };
        let response = caller.call("GET", "/v1/models", &[], "").await;
        assert_eq!(response.status, expected, "{key:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ungranted_forbidden() {
    let harness = one_daemon().await;
    let stranger = Caller::new(&harness.daemons[0].listen, "stranger");
    let models = stranger.call("GET", "/v1/models", &[], "").await.json();
    assert_eq!(models["data"], json!([]));
    let response = stranger.call("POST", "/v1/chat/completions", &[], chat(json!({}))).await;
    assert_eq!((response.status.as_u16(), response.outcome()), (403, "not_run"));
    let response = stranger.call("GET", "/v1/services/orders/stock", &[], "").await;
    assert_eq!((response.status.as_u16(), response.outcome()), (403, "not_run"));
    let organisation = Caller::new(&harness.daemons[0].listen, "yew");
    let models = organisation.call("GET", "/v1/models", &[], "").await.json();
    assert_eq!(models["data"][0]["id"], "prose");
    assert_eq!(models["data"][1]["id"], "prose:verse");
    assert_eq!(organisation.call("GET", "/v1/models/prose:verse", &[], "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_unchanged() {
    let harness = one_daemon().await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let body: Vec<u8> = (b'a'..=b'z').cycle().take(300_000).collect();
    for method in ["PUT", "POST", "DELETE", "PATCH"] {
        let path = "/v1/services/orders/stock/oak%20frame?height=40&x=%2F";
        let response = caller.call(method, path, &[("x-own", "1")], body.clone()).await;
        assert_eq!(response.status, 200, "{response:?}");
        let echo = response.json();
        assert_eq!(echo["method"], method);
        assert_eq!(echo["path"], "/stock/oak%20frame");
        assert_eq!(echo["query"], "height=40&x=%2F");
        assert_eq!(echo["organisation"], "yew");
        assert_eq!(echo["body"].as_str().expect("a body").as_bytes(), body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_enforced() {
    let mut harness = Harness::new(&[steady(5.0, 1)], &[ServiceOptions::default()]).await;
    harness.document["limits"] = json!({"body_bytes": 2_000, "header_count": 20, "header_bytes": 2_000, "body_ms": 200,
            "organisation_requests": 2});
    harness.start_daemon(false).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let long = "x".repeat(2_001);
    let response = caller.call("POST", "/v1/services/orders/stock", &[], long.clone()).await;
    assert_eq!((response.status.as_u16(), response.outcome()), (413, "not_run"));
    // The rest of the body isn't read, so the connection can't be reused.
    assert_eq!(response.headers["connection"], "close");
    let response = caller.call("GET", "/v1/models", &[("x-long", &long)], "").await;
    assert_eq!((response.status.as_u16(), response.outcome()), (431, "not_run"));
    let names: Vec<String> = (0..21).map(|i| format!("x-{i}")).collect();
    let many: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "1")).collect();
    assert_eq!(caller.call("GET", "/v1/models", &many, "").await.status, 431);
    // One organisation can't take all request slots of an instance.
    harness.engines[0].control(&agatestand::engine::Control::Stall { ms: 60_000 });
    let mut pending = Vec::new();
    for _ in 0..2 {
        let caller = caller.clone();
        pending.push(tokio::spawn(async move { caller.generate("x", 5).await }));
    }
    harness::eventually("two requests are in progress", async || {
        harness::get_json(&harness.daemons[0].ops, "/status").await["active"] == 2
    })
    .await;
    let response = caller.call("POST", "/v1/chat/completions", &[], chat(json!({}))).await;
    assert_eq!((response.status.as_u16(), response.outcome()), (429, "not_run"));
    let other = Caller::new(&harness.daemons[0].listen, "box");
    assert_eq!(other.call("GET", "/v1/services/orders/stock", &[], "").await.status, 200);
    pending.iter().for_each(tokio::task::JoinHandle::abort);
    // A body that isn't complete in time is answered with 408.
    let mut slow = TcpStream::connect(&harness.daemons[0].listen).await.expect("a connection");
    let head = format!(
        "POST /v1/services/orders/stock HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\nabc",
        api_key("yew")
    );
    slow.write_all(head.as_bytes()).await.expect("the head is sent");
    let mut response = vec![0; 12];
    slow.read_exact(&mut response).await.expect("a response");
    assert_eq!(response, b"HTTP/1.1 408");
}

#[tokio::test(flavor = "multi_thread")]
async fn http1_and_http2() {
    let harness = one_daemon().await;
    let mut caller = Caller::new(&harness.daemons[0].listen, "yew");
    for http2 in [false, true] {
        caller.client = agatestand::load::client(http2);
        let mut stream = caller.generate("x", 5).await;
        assert_eq!(stream.finish().await, harness::StreamEnd::Complete);
        stream.check_tokens();
        let response = caller.call("GET", "/v1/services/orders/stock", &[], "").await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn trace_propagated() {
    let harness = one_daemon().await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let parent = format!("00-{trace}-b7ad6b7169203331-01");
    let headers = [("traceparent", parent.as_str()), ("x-request-id", "mine-1")];
    let response = caller.call("GET", "/v1/services/orders/stock", &headers, "").await;
    assert_eq!(response.headers["x-request-id"], "mine-1");
    let seen = response.json()["traceparent"].as_str().unwrap_or_default().to_owned();
    assert!(seen.starts_with(&format!("00-{trace}-")), "the server got another trace: {seen}");
    assert_ne!(seen, parent, "the server got the caller's span");
}

/// Arbitrary bytes on a connection neither stop the daemon nor make it reveal keys or other organisations.
#[test]
fn arbitrary_bytes() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let harness = runtime.block_on(one_daemon());
    let address = harness.daemons[0].listen.clone();
    let heads: [&[u8]; 4] = [
        b"",
        b"POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer yew-key\r\n",
        b"GET /v1/services/orders/stock HTTP/1.1\r\nauthorization: Bearer yew-key\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ];
    check!().with_type::<(u8, Vec<u8>)>().with_iterations(300).with_test_time(TEST_TIME).for_each(
        |(head, bytes)| {
            runtime.block_on(async {
                let mut stream = TcpStream::connect(&address).await.expect("a connection");
                let head = heads[usize::from(*head) % heads.len()];
                let _ = stream.write_all(head).await;
                let _ = stream.write_all(bytes).await;
                let _ = stream.shutdown().await;
                let mut response = Vec::new();
                let _ = stream.read_to_end(&mut response).await;
                let text = String::from_utf8_lossy(&response);
                assert!(!text.contains("sha256") && !text.contains("box"), "{text}");
            });
        },
    );
    runtime.block_on(async {
        let caller = Caller::new(&address, "yew");
        assert_eq!(caller.call("GET", "/v1/models", &[], "").await.status, 200);
    });
}
