//! Request smuggling: raw requests with conflicting or malformed lengths hold another request in their body. Guards
//! against an instance that sees another end of a request than the server, so that the hidden one runs.

mod platform_fixture;

use agateroute_standin as standin;
use platform_fixture::{TestPlatform, start_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes, closes the sending side if `end`, and reads until the connection ends.
async fn send_raw(address: &str, bytes: &str, end: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes.as_bytes()).await.expect("the bytes are sent");
    if end {
        stream.shutdown().await.expect("the end is sent");
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

fn head(id: &str, fields: &str) -> String {
    format!(
        "POST /order/ HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\n{}: 20000\r\nauthorization: {}\r\n{fields}\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::DEADLINE_HEADER,
        standin::authorization("yew-key"),
    )
}

/// Ids and bodies of the requests that the server executed.
fn runs(platform: &TestPlatform) -> Vec<(String, Vec<u8>)> {
    let runs = platform.plain[0].runs();
    runs.into_iter().map(|r| (r.id, r.body.to_vec())).collect()
}

#[tokio::test]
async fn hidden_requests() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let hidden = head("hidden", "content-length: 0\r\n");
    let length = hidden.len();
    let chunked = format!("{length:x}\r\n{hidden}\r\n0\r\n\r\n");
    let length_and_coding = "content-length: 4\r\ntransfer-encoding: chunked\r\n";
    let cases = [
        (
            head("two-lengths", &format!("content-length: 0\r\ncontent-length: {length}\r\n")),
            &hidden,
        ),
        (head("listed-lengths", &format!("content-length: 0, {length}\r\n")), &hidden),
        (head("signed-length", &format!("content-length: +{length}\r\n")), &hidden),
        (head("spaced-name", &format!("content-length : {length}\r\n")), &hidden),
        (head("odd-coding", "transfer-encoding: xchunked\r\n"), &chunked),
        (head("both", length_and_coding), &chunked),
    ];
    for (head, body) in &cases {
        send_raw(&instance.listen, &format!("{head}{body}"), true).await;
    }
    let executed = runs(&platform);
    assert!(executed.iter().all(|(id, _)| id != "hidden"), "{executed:?}");
    for (id, body) in &executed {
        assert!(body.is_empty() || *body == hidden.as_bytes(), "{id} has another body");
    }
}

#[tokio::test]
async fn pipelined_requests() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let inner = head("hidden", "content-length: 0\r\n");
    let first = head("first", &format!("content-length: {}\r\n", inner.len()));
    let second = head("second", "transfer-encoding: chunked\r\nconnection: close\r\n");
    let bytes = format!("{first}{inner}{second}{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len());
    let responses = send_raw(&instance.listen, &bytes, false).await;
    assert_eq!(responses.matches("HTTP/1.1 200 OK").count(), 2, "{responses}");
    let body = inner.into_bytes();
    assert_eq!(runs(&platform), [("first".to_owned(), body.clone()), ("second".to_owned(), body)]);
}
