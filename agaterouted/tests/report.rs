//! The report of a day matches what callers saw. Guards against requests lost or counted twice when an instance
//! stops or is killed, also during an outage, and against a report that hides missing figures.

mod harness;

use agatestand::load::{Target, run};
use agatestand::platform::Control;
use agatestand::service::ServiceOptions;
use agatestand::spec::LoadSpec;
use harness::{Caller, Harness, eventually, get_json, steady};
use http::Request;
use http_body_util::{BodyExt, Full};
use serde_json::json;

async fn two_daemons() -> Harness {
    let mut harness =
        Harness::new(&[steady(20.0, 1), steady(20.0, 1)], &[ServiceOptions::default()]).await;
    harness.document["routing"]["tally_ms"] = json!(100);
    harness.start_daemon(true).await;
    harness.start_daemon(true).await;
    harness
}

async fn fetch_report(harness: &Harness, index: usize) -> String {
    let uri = format!("http://{}/report", harness.daemons[index].ops);
    let request = Request::get(uri).body(Full::default()).expect("a request");
    let response = agatestand::load::client(false).request(request).await.expect("a response");
    let body = response.into_body().collect().await.expect("a page").to_bytes();
    String::from_utf8(body.to_vec()).expect("a text")
}

/// The cells of one row of the outcome table. Empty if there is no such row.
fn row_cells(page: &str, organisation: &str, kind: &str) -> Vec<String> {
    let start = format!("<tr><td>{organisation}</td><td class=\"text\">{kind}</td>");
    let Some(row) = page.split(&start).nth(1) else { return Vec::new() };
    let row = row.split("</tr>").next().unwrap_or_default();
    row.split("</td>")
        .map(|c| c.rsplit('>').next().unwrap_or_default().to_owned())
        .filter(|c| !c.is_empty())
        .collect()
}

fn load_spec() -> LoadSpec {
    let targets =
        json!({"first_token_ms": 20_000, "between_tokens_ms": 5_000, "answer_ms": 20_000});
    let flow = |organisation: &str, kind: &str, rank: &str, ask| {
        json!({"organisation": organisation, "key": harness::api_key(organisation), "kind": kind, "rank": rank,
            "rate": 30.0, "ask": ask, "targets": targets})
    };
    let generation = json!({"generation": {"model": "prose", "prompt": 20}});
    let call = json!({"call": {"service": "orders", "method": "GET", "path": "stock/1"}});
    serde_json::from_value(json!({"seconds": 2.0, "seed": 5, "flows": [
        flow("yew", "draft", "deferrable", generation.clone()),
        flow("box", "quote", "urgent", generation),
        flow("box", "stock", "urgent", call),
    ]}))
    .expect("a spec")
}

#[tokio::test(flavor = "multi_thread")]
async fn agrees_with_load() {
    let harness = two_daemons().await;
    let targets = harness.daemons.iter().map(|d| d.listen.clone()).collect();
    let result = run(&load_spec(), &Target::Balanced(targets), &[]).await;
    eventually("the report matches the load run", async || {
        let page = fetch_report(&harness, 0).await;
        result.flows.iter().all(|flow| {
            let row_cells = row_cells(&page, &flow.organisation, &flow.kind);
            let cell = |index: usize| row_cells.get(index).and_then(|c| c.parse::<u64>().ok());
            cell(1) == Some(flow.total())
                && cell(2) == Some(flow.outcomes[0])
                && cell(3) == Some(flow.outcomes[1])
                && cell(4) == Some(flow.outcomes[2])
                && cell(8) == Some(flow.tokens)
        })
    })
    .await;
    let page = fetch_report(&harness, 1).await;
    assert!(page.contains("The day went well for every organisation."), "{page}");
    assert!(page.contains("No instance fell silent."));
    assert!(page.contains("Instances that still serve are counted until: entry-"), "{page}");
    assert!(page.contains("<svg") && !page.contains("<script"), "SVG without scripts");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_instance() {
    let mut harness = two_daemons().await;
    let caller = Caller::new(&harness.daemons[1].listen, "yew");
    assert_eq!(caller.call("GET", "/v1/services/orders/stock/1", &[], "").await.status, 200);
    eventually("the call is in the report", async || {
        row_cells(&fetch_report(&harness, 0).await, "yew", "stock").get(1).is_some_and(|c| c == "1")
    })
    .await;
    harness.daemons[1].kill();
    eventually("the report mentions the silent instance", async || {
        fetch_report(&harness, 0).await.contains("entry-1 was last heard at")
    })
    .await;
    let page = fetch_report(&harness, 0).await;
    assert!(page.contains("some of it is not known"), "{page}");
    assert_eq!(row_cells(&page, "yew", "stock")[1], "1", "the killed instance's calls are missing");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_in_outage() {
    let mut harness = two_daemons().await;
    eventually("rows are written", async || harness.platform.counts().writes > 4).await;
    harness.platform.control(Control::Outage { on: true });
    let caller = Caller::new(&harness.daemons[1].listen, "yew");
    for _ in 0..3 {
        assert_eq!(caller.call("GET", "/v1/services/orders/stock/1", &[], "").await.status, 200);
    }
    eventually("a peer holds the row that could not be written", async || {
        get_json(&harness.daemons[0].ops, "/status").await["held_rows"].as_u64() > Some(0)
            && harness.daemons[1]
                .log
                .lock()
                .expect("the log")
                .iter()
                .any(|l| l.contains("event=tallies_not_written") && l.contains("requests=3"))
    })
    .await;
    harness.daemons[1].kill();
    harness.platform.control(Control::Outage { on: false });
    eventually("the peer writes the row of the killed instance", async || {
        row_cells(&fetch_report(&harness, 0).await, "yew", "stock").get(1).is_some_and(|c| c == "3")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop() {
    let mut harness = two_daemons().await;
    let caller = Caller::new(&harness.daemons[1].listen, "yew");
    assert_eq!(caller.call("GET", "/v1/services/orders/stock/1", &[], "").await.status, 200);
    harness.daemons[1].signal("-TERM");
    assert!(harness.daemons[1].child.wait().expect("the daemon ends").success());
    let page = fetch_report(&harness, 0).await;
    assert_eq!(row_cells(&page, "yew", "stock")[1], "1");
    assert!(page.contains("The day went well for every organisation."), "{page}");
}
