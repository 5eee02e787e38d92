//! Invalid requests on routes: unknown paths and keys, oversized bodies and header fields. Guards against such
//! requests reaching a server, and against number overflow for the largest sizes and deadlines.

mod platform_fixture;

use agateroute_standin as standin;
use http_body_util::Full;
use platform_fixture::start_platform;

#[tokio::test]
async fn bad_input() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let status = async |path: &str, key: &str, body: &str| {
        instance.call("POST", path, key, body).await.status.as_u16()
    };
    assert_eq!(status("/nowhere/", "yew-key", "").await, 404);
    assert_eq!(status("/order/", "unknown", "").await, 401);
    assert_eq!(status("/order/", "", "").await, 401);
    assert_eq!(status("/order/", "yew-key", &"x".repeat(10_001)).await, 413);
    assert!(platform.plain[0].runs().is_empty(), "an invalid request reached a server");
    let without_deadline = instance
        .without_deadline("POST", "/order/", "yew-key")
        .header(standin::SIZE_HEADER, "4294967295,4294967295")
        .header(standin::DEADLINE_HEADER, u64::MAX.to_string())
        .body(Full::default());
    assert_eq!(
        instance.send(without_deadline.expect("a request")).await.status,
        200,
        "the largest deadline is accepted"
    );
    platform.plain[0].clear_runs();
    for length in [9_000, 70_000] {
        let long = instance
            .request("POST", "/order/", "yew-key")
            .header("x-long", "x".repeat(length))
            .body(Full::default());
        assert_eq!(instance.send(long.expect("a request")).await.status, 431);
    }
    assert!(platform.plain[0].runs().is_empty(), "an invalid request reached a server");
}
