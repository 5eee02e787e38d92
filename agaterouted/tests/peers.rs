//! Links between instances that stall, also in one direction only.

mod bed;

use agatestand::fault::{FaultProxy, Faults};
use bed::{Bed, Caller, StreamEnd, eventually, get_json, steady};

/// Two daemons whose one link goes through a fault proxy.
async fn linked_through_proxy() -> (Bed, FaultProxy) {
    let mut bed = Bed::new(&[steady(300.0, 5), steady(300.0, 5)], &[]).await;
    bed.start(false).await;
    let target = bed.daemons[0].peer.parse().expect("an address");
    let proxy = FaultProxy::start(target, bed.cancel.clone()).await.expect("a proxy");
    bed.daemons[0].peer = proxy.address.to_string();
    bed.start(false).await;
    (bed, proxy)
}

async fn linked(bed: &Bed, at: usize) -> bool {
    get_json(&bed.daemons[at].ops, "/status").await["peers"][0]["linked"] == true
}

async fn cut(faults: Faults) {
    let (bed, proxy) = linked_through_proxy().await;
    let mut before = Vec::new();
    for daemon in &bed.daemons {
        let mut stream = Caller::new(&daemon.listen, "yew").generate("a draft", 300).await;
        stream.token().await.expect("a token");
        before.push(stream);
    }
    proxy.set(faults);
    for at in 0..2 {
        eventually("the silence is noticed", async || !linked(&bed, at).await).await;
    }
    for daemon in &bed.daemons {
        let mut stream = Caller::new(&daemon.listen, "yew").generate("another draft", 5).await;
        assert_eq!(stream.finish().await, StreamEnd::Whole, "each admits on its own");
    }
    for stream in &mut before {
        assert_eq!(stream.finish().await, StreamEnd::Whole, "running streams are not touched");
        stream.check();
    }
    proxy.set(Faults::default());
    for at in 0..2 {
        eventually("they are linked again", async || linked(&bed, at).await).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_there() {
    cut(Faults { hold_requests: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_back() {
    cut(Faults { hold_answers: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn both_ways() {
    cut(Faults { hold_requests: true, hold_answers: true, ..Faults::default() }).await;
}
