//! An instance loses all servers, while callers, the table service and the other instance still reach it. Guards against
//! requests that are turned away, at this instance and at the other one.

mod platform_fixture;

use std::net::SocketAddr;

use agateroute_standin::{Behaviour, Server};
use agatestand::fault::{FaultProxy, Faults};
use agatestand::instance::{Instance, Launch, eventually, eventually_some};
use futures_util::future::join_all;
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use serde_json::{Value, json};

/// How the links of an instance to the servers fail.
const REFUSED: Faults = Faults { refuse: true, cut: true, ..NONE };
const OLD_LIVE: Faults = Faults { refuse: true, ..NONE };
const NONE: Faults = Faults {
    delay: std::time::Duration::ZERO,
    hold_requests: false,
    hold_answers: false,
    cut: false,
    refuse: false,
    cut_after: None,
    cut_event: None,
};

/// An instance with links of its own to all servers.
struct Linked {
    instance: Instance,
    links: Vec<FaultProxy>,
}

impl Linked {
    async fn start(platform: &TestPlatform) -> Linked {
        let mut links = Vec::new();
        let mut seen: Vec<(String, SocketAddr)> = Vec::new();
        for server in platform.plain.iter().chain(&platform.engines) {
            let link = FaultProxy::start(server.address, platform.cancel.clone()).await;
            let link = link.expect("a proxy");
            seen.push((server.name.clone(), link.address));
            links.push(link);
        }
        let view = move |key: &str, mut row: Value| {
            if let Some((_, address)) = seen.iter().find(|(name, _)| name == key) {
                row["Address"] = json!(address.to_string());
            }
            row
        };
        let store = platform.store.start_view(platform.cancel.clone(), view).await;
        let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), store, 5_000);
        let instance = Instance::start(launch).await.expect("the instance starts");
        eventually("the instance is ready", async || instance.ready().await == StatusCode::OK)
            .await;
        Linked { instance, links }
    }

    fn set(&self, faults: Faults) {
        self.links.iter().for_each(|l| l.set(faults));
    }
}

async fn start_pair(platform: &TestPlatform) -> (Linked, Instance) {
    let cut = Linked::start(platform).await;
    let other = platform.start_instance(5_000).await;
    let linked =
        async || cut.instance.logged("event=peer_linked") && other.logged("event=peer_linked");
    eventually("the instances are linked", linked).await;
    (cut, other)
}

/// Sends first attempts, some at a time. Returns how many of them were served.
async fn served(instance: &Instance, path: &str, count: usize) -> usize {
    const AT_ONCE: usize = 4;
    let mut served = 0;
    for _ in 0..count / AT_ONCE {
        let calls = (0..AT_ONCE).map(|_| instance.call("POST", path, "yew-key", "a body"));
        let answers = join_all(calls).await;
        served += answers.iter().filter(|a| a.status == StatusCode::OK && a.complete).count();
    }
    served
}

/// Guards against callers of a cut instance that are served far worse than those of others: two thirds as often is the rule.
#[tokio::test]
async fn cut_instance_serves() {
    for faults in [REFUSED, OLD_LIVE] {
        let platform = start_platform(3, 2, 5).await;
        let (cut, _other) = start_pair(&platform).await;
        for path in ["/order/", "/stock/", "/draft/"] {
            assert_eq!(served(&cut.instance, path, 12).await, 12, "{path} before the cut");
        }
        cut.set(faults);
        for path in ["/order/", "/stock/", "/draft/", "/quote/"] {
            let served = served(&cut.instance, path, 60).await;
            assert!(served >= 40, "{served} of 60 served at {path}, cut by {faults:?}");
        }
        let ran: Vec<String> = platform.plain.iter().flat_map(Server::runs).map(|r| r.id).collect();
        let mut once = ran.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), ran.len(), "a request ran twice");
    }
}

/// Guards against an instance that is cut off and, as the reporter of servers that it can not reach, makes the others turn
/// requests away.
#[tokio::test]
async fn others_unharmed_by_the_cut() {
    let platform = start_platform(3, 0, 0).await;
    let (cut, other) = start_pair(&platform).await;
    cut.set(REFUSED);
    let at_cut = served(&cut.instance, "/order/", 120);
    let at_other = served(&other, "/order/", 120);
    let (_, at_other) = tokio::join!(at_cut, at_other);
    assert_eq!(at_other, 120, "served by the instance that reaches all servers");
}

/// Guards against work that goes on at a server for a caller of the cut instance who has left, and against a call that may run
/// once and is run again after its answer was lost on the way through a peer.
#[tokio::test]
async fn forwarded_calls_end_with_their_callers() {
    let platform = start_platform(3, 0, 0).await;
    let (cut, _other) = start_pair(&platform).await;
    cut.set(REFUSED);
    assert!(served(&cut.instance, "/order/", 60).await >= 40);
    platform.plain.iter().for_each(|s| s.set_behaviour(Behaviour::Hangs));
    let runs = || platform.plain.iter().map(|s| s.runs().len()).sum::<usize>();
    let before = runs();
    let call = cut.instance.call("POST", "/order/", "yew-key", "");
    tokio::select! {
        answer = call => panic!("a server that hangs answered: {answer:?}"),
        () = eventually("the call runs", async || runs() > before) => {}
    }
    let dropped = || platform.plain.iter().map(Server::dropped).sum::<u64>();
    eventually("the server sees that the caller has left", async || dropped() > 0).await;
    platform.plain.iter().for_each(|s| s.set_behaviour(Behaviour::DropsResponses));
    let before = runs();
    let answer = cut.instance.call("POST", "/order/", "yew-key", "").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "a server may have run it");
    assert_eq!(runs(), before + 1, "it ran again");
}

// Guards against a stream that an instance serves for a peer, and that the end of its process cuts off earlier than streams
// of its own callers and without a line in its log.
#[tokio::test]
async fn forwarded_stream_lasts_to_the_end() {
    let platform = start_platform(3, 2, 4_000).await;
    let (cut, mut other) = start_pair(&platform).await;
    cut.set(REFUSED);
    eventually("requests are forwarded", async || {
        cut.instance.call("POST", "/order/", "yew-key", "").await;
        cut.instance.logged("event=request_forwarded")
    })
    .await;
    let stream = cut.instance.call("POST", "/draft/", "yew-key", "");
    let stop = async {
        eventually("the stream runs", async || cut.instance.logged("outcome=streams")).await;
        other.terminate();
        assert!(eventually_some("the instance stops", async || other.exit_success()).await);
    };
    let (answer, ()) = tokio::join!(stream, stop);
    assert!(!answer.complete, "it would have lasted for longer");
    let logged = async || other.find("event=stream_given_up");
    let line = eventually_some("the cut is logged", logged).await;
    assert!(line.contains("cause=instance_ends"), "{line}");
}
