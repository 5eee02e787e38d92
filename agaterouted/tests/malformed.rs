//! Malformed input on every port and in every table. Guards against one message or row that takes the process down, or
//! that stops it from following valid ones.

mod platform_fixture;

use agateroute_standin as standin;
use agatestand::instance::{Instance, eventually, field};
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SEED: u64 = 11;
/// The messages that are sent to each port.
const MESSAGES: usize = 40;
/// The start of a connection between peers, before frames.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const MALFORMED_VALUES: [&str; 8] = [
    "",
    "null",
    "[]",
    "{}",
    "{\"Version\":18446744073709551616}",
    "{\"Service\":3,\"Address\":\"x\",\"Zone\":null,\"Slots\":-1,\"State\":\"asleep\"}",
    "{\"tag\":\"1\",\"value\":\"{\\\"address\\\":\\\"nowhere\\\",\\\"leaving\\\":false}\",\"expires\":0}",
    "{\"tag\":\"x\",\"value\":\"\u{0}\",\"expires\":99999999999999999999}",
];

fn random_message(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let length = rng.random_range(1..600);
    let mut message: Vec<u8> = (0..length).map(|_| rng.random()).collect();
    match rng.random_range(0..4) {
        0 => message.splice(..0, HTTP2_PREFACE.iter().copied()).for_each(drop),
        1 => message.splice(..0, b"POST /order/ HTTP/1.1\r\n".iter().copied()).for_each(drop),
        2 => message
            .splice(..0, b"GET /stock/ HTTP/1.1\r\nhost: a.example\r\n".iter().copied())
            .for_each(drop),
        _ => {}
    }
    message
}

async fn serves(platform: &TestPlatform, instance: &mut Instance) {
    let version = 1_000 + platform.store.reads();
    standin::publish_keys(&platform.store, version, &["new-key".to_owned()]);
    eventually("a new version is in force", async || {
        instance.call("POST", "/order/", "new-key", "").await.status == StatusCode::OK
    })
    .await;
    assert_eq!(instance.exit_success(), None, "the process has ended");
    assert!(!instance.logged("event=task_ended"));
}

#[tokio::test]
async fn random_bytes_on_every_port() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    let started = instance.find("event=started").expect("the line at the start");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for port in ["listen", "ready", "ops", "peer"] {
        for _ in 0..MESSAGES {
            let message = random_message(&mut rng);
            let stream = TcpStream::connect(field(&started, port)).await;
            let mut stream = stream.expect("the instance accepts connections");
            // The instance may close it before the whole message is sent.
            let _ = stream.write_all(&message).await;
        }
    }
    serves(&platform, &mut instance).await;
}

#[tokio::test]
async fn malformed_rows() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    for (i, value) in MALFORMED_VALUES.iter().enumerate() {
        platform.store.write_everywhere(&format!("row-{i}"), value);
        platform.store.replace_document(value);
    }
    serves(&platform, &mut instance).await;
    // An instance that starts now reads all of them.
    let mut new = platform.start_instance(5_000).await;
    serves(&platform, &mut new).await;
}
