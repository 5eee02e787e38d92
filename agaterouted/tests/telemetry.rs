//! Spans reach an OTLP collector, and the metrics page counts what was served. Guards against telemetry that is set
//! up but never exported.

mod harness;

use std::sync::{Arc, Mutex};

use agatestand::{reply, serve};
use harness::{Caller, Harness, StreamEnd, eventually, steady};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::net::TcpListener;

/// Paths and bodies of export requests, in the order of their arrival.
type Exports = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// Starts a collector that records all export requests. Returns its address and the record.
async fn start_collector(harness: &Harness) -> (String, Exports) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let exports = Exports::default();
    let recorded = exports.clone();
    let handler = move |request: Request<hyper::body::Incoming>| {
        let recorded = recorded.clone();
        async move {
            let path = request.uri().path().to_owned();
            let body = reply::read(request.into_body()).await.to_vec();
            recorded.lock().expect("the list").push((path, body));
            reply::empty(StatusCode::OK)
        }
    };
    tokio::spawn(serve::serve(listener, harness.cancel.clone(), handler));
    (address, exports)
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_exported() {
    let mut harness = Harness::new(&[steady(5.0, 1)], &[]).await;
    let (address, exports) = start_collector(&harness).await;
    harness.telemetry = json!({"otlp": address, "trace_ratio": 1.0});
    harness.start_daemon(false).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 5).await;
    assert_eq!(stream.finish().await, StreamEnd::Complete);
    for span in ["caller", "queue", "permit", "backend server"] {
        eventually(&format!("the span {span:?} is exported"), async || {
            let exports = exports.lock().expect("the list");
            let traces = exports.iter().filter(|(path, _)| path.ends_with("TraceService/Export"));
            let name = span.as_bytes();
            traces.into_iter().any(|(_, body)| body.windows(name.len()).any(|w| w == name))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_page() {
    let mut harness = Harness::new(&[steady(5.0, 1)], &[]).await;
    harness.start_daemon(false).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 5).await;
    assert_eq!(stream.finish().await, StreamEnd::Complete);
    eventually("the metrics page shows the tokens", async || {
        let uri = format!("http://{}/metrics", harness.daemons[0].ops);
        let request = Request::get(uri).body(Full::default()).expect("a request");
        let response = agatestand::load::client(false).request(request).await.expect("a page");
        let page = response.into_body().collect().await.expect("a body").to_bytes();
        let page = String::from_utf8_lossy(&page).into_owned();
        let tokens = page.lines().find(|l| l.starts_with("agateroute_tokens_total"));
        tokens.is_some_and(|l| l.contains("organisation=\"yew\"") && l.ends_with(" 5"))
    })
    .await;
}
