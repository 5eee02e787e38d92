//! Traces and metrics reach a collector, and the metrics page tells what was served.

mod bed;

use std::sync::{Arc, Mutex};

use agatestand::{reply, serve};
use bed::{Bed, Caller, StreamEnd, eventually, steady};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::net::TcpListener;

/// Paths and bodies in the order of their arrival.
type Seen = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// A collector that keeps the paths and bodies that it is sent.
async fn collector(bed: &Bed) -> (String, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let seen = Seen::default();
    let kept = seen.clone();
    let handler = move |request: Request<hyper::body::Incoming>| {
        let kept = kept.clone();
        async move {
            let path = request.uri().path().to_owned();
            let body = reply::read(request.into_body()).await.to_vec();
            kept.lock().expect("the list").push((path, body));
            reply::empty(StatusCode::OK)
        }
    };
    tokio::spawn(serve::serve(listener, bed.cancel.clone(), handler));
    (address, seen)
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_exported() {
    let mut bed = Bed::new(&[steady(5.0, 1)], &[]).await;
    let (address, seen) = collector(&bed).await;
    bed.telemetry = json!({"otlp": address, "trace_ratio": 1.0});
    bed.start(false).await;
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 5).await;
    assert_eq!(stream.finish().await, StreamEnd::Whole);
    for span in ["caller", "queue", "permit", "backend server"] {
        eventually(&format!("the span {span:?} is exported"), async || {
            let seen = seen.lock().expect("the list");
            let traces = seen.iter().filter(|(path, _)| path.ends_with("TraceService/Export"));
            let wanted = span.as_bytes();
            traces.into_iter().any(|(_, body)| body.windows(wanted.len()).any(|w| w == wanted))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_page() {
    let mut bed = Bed::new(&[steady(5.0, 1)], &[]).await;
    bed.start(false).await;
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let mut stream = caller.generate("a draft", 5).await;
    assert_eq!(stream.finish().await, StreamEnd::Whole);
    eventually("the tokens are on the page", async || {
        let uri = format!("http://{}/metrics", bed.daemons[0].ops);
        let request = Request::get(uri).body(Full::default()).expect("a request");
        let response = agatestand::load::client(false).request(request).await.expect("a page");
        let page = response.into_body().collect().await.expect("a body").to_bytes();
        let page = String::from_utf8_lossy(&page).into_owned();
        let tokens = page.lines().find(|l| l.starts_with("agateroute_tokens_total"));
        tokens.is_some_and(|l| l.contains("organisation=\"yew\"") && l.ends_with(" 5"))
    })
    .await;
}
