//! Parsers of external input don't panic. Guards against a backend server, the platform or a caller that stops a
//! daemon with a malformed response or key; round trips check that nothing stored is changed.

use std::time::Duration;

use agateroute_config::Document;
use agateroute_config::digest::hex_digest;
use agateroute_storage::calls::{CallRecord, RecordedResponse};
use agateroute_storage::instances::HTTP_SD;
use agateroute_storage::manifest::{Manifest, join, split};
use agateroute_storage::table::{Condition, DYNAMO, Outcome, Row, Write};
use agateroute_storage::weights::S3_MANIFEST;
use agaterouted::auth::{KeyRing, bearer_key};
use agaterouted::collect::AnswerCollector;
use agaterouted::engine::OPENAI;
use agaterouted::plain::HTTP;
use agaterouted::tallies::TallyRecord;
use bolero::check;
use http::{HeaderMap, StatusCode};

/// Long enough that property tests end by their number of iterations, also on a slow machine.
const TEST_TIME: Duration = Duration::from_secs(600);
const HUON: &str = include_str!("../../examples/huon.yaml");

/// Fragments of valid messages and edge cases, from which inputs are assembled.
const PIECES: [&str; 16] = [
    "{\"generation_id\":\"g\",\"token_index\":1,\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}",
    "{\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\"{\"}}]}}]}",
    "{\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}",
    "{\"used\":1,\"running\":1,\"waiting\":0,\"preemptions\":0,\"age_ms\":5}",
    "{\"data\":[{\"id\":\"a\",\"version\":\"1\"}]}",
    "{\"Item\":{\"pk\":{\"S\":\"a\"},\"sk\":{\"S\":\"b\"},\"tag\":{\"S\":\"c\"},\"value\":{\"S\":\"d\"}}}",
    "{\"__type\":\"x#TransactionCanceledException\",\"CancellationReasons\":[{\"Code\":\"ConditionalCheckFailed\"}]}",
    "[{\"targets\":[\"127.0.0.1:1\"],\"labels\":{\"instance\":\"a\",\"role\":\"entry\",\"state\":\"live\"}}]",
    "{\"events\":[{\"sequence\":4,\"prefix\":\"0f\",\"cached\":true}]}",
    "Bearer ",
    "null",
    "\u{0}",
    "18446744073709551616",
    "-1",
    "\"",
    "}",
];

fn assemble_input(parts: &[(u8, u16, u8)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (piece, at, byte) in parts.iter().take(8) {
        let mut part = PIECES[usize::from(*piece) % PIECES.len()].as_bytes().to_vec();
        if byte % 3 == 0 {
            let at = usize::from(*at) % part.len();
            part[at] = *byte;
        }
        if byte % 5 == 0 {
            part.truncate(usize::from(*at) % part.len());
        }
        bytes.extend(part);
    }
    bytes
}

#[test]
fn external_responses() {
    check!()
        .with_type::<Vec<(u8, u16, u8)>>()
        .with_iterations(20_000)
        .with_test_time(TEST_TIME)
        .for_each(|parts| {
            let bytes = assemble_input(parts);
            let text = String::from_utf8_lossy(&bytes);
            let _ = (OPENAI.decode)(&text);
            let _ = (OPENAI.decode_report)(&bytes);
            let _ = (OPENAI.decode_loaded)(&bytes);
            let _ = (OPENAI.decode_cache)(3, &bytes);
            let _ = (HTTP.decode_report)(&bytes);
            let mut collector = AnswerCollector::default();
            if collector.add(&text).is_ok() {
                let _ = collector.finish(true, None);
            }
            for status in [StatusCode::OK, StatusCode::BAD_REQUEST, StatusCode::BAD_GATEWAY] {
                let _ = (DYNAMO.decode_get)(status, &bytes);
                let _ = (DYNAMO.decode_query)(status, &bytes);
                let _ = (DYNAMO.decode_transact)(status, &bytes);
                let _ = (HTTP_SD.decode_list)(status, &bytes);
                let _ = (S3_MANIFEST.decode_get)(status, &bytes);
            }
            let _ = serde_json::from_slice::<CallRecord>(&bytes);
            let _ = serde_json::from_slice::<TallyRecord>(&bytes);
            let _ = serde_json::from_slice::<Manifest>(&bytes);
            let _ = bearer_key(&bytes);
        });
}

#[test]
fn keys_found() {
    let document: Document = agateroute_config::parse_document("huon.yaml", HUON).expect("huon");
    let ring = KeyRing::new(&document);
    for (i, organisation) in document.organisations.iter().enumerate() {
        let key = format!("{}-key", organisation.name);
        assert_eq!(ring.find(key.as_bytes()), Some(i), "{key}");
    }
    check!().with_iterations(5_000).with_test_time(TEST_TIME).for_each(|key: &[u8]| {
        let known = document
            .organisations
            .iter()
            .position(|m| m.keys.iter().any(|k| k.sha256 == hex_digest(key)));
        assert_eq!(ring.find(key), known);
    });
}

#[test]
fn recorded_response_round_trip() {
    check!()
        .with_type::<(u8, Vec<u8>, u16)>()
        .with_iterations(2_000)
        .with_test_time(TEST_TIME)
        .for_each(|(status, body, number)| {
            let status = StatusCode::from_u16(200 + u16::from(*status)).expect("a status");
            let mut headers = HeaderMap::new();
            headers.insert("x-number", (*number).into());
            let response = RecordedResponse::new(status, &headers, body);
            let (stored, stored_headers, stored_body) = response.parts().expect("the parts");
            assert_eq!((stored, &stored_headers, &stored_body[..]), (status, &headers, &body[..]));
        });
}

#[test]
fn sections_round_trip() {
    let document = agateroute_config::parse_document("huon.yaml", HUON).expect("huon");
    let (manifest, parts) = split(&document).expect("the parts");
    let find = |digest: &str| {
        let part = parts.iter().find(|p| p.digest == digest)?;
        serde_json::from_str(&part.body).ok()
    };
    assert_eq!(join(&manifest, find).expect("the document"), document);
    let missing = join(&manifest, |_| None).expect_err("no parts").to_string();
    assert!(missing.contains("does not exist in the object store"), "{missing}");
}

#[test]
fn transact_request() {
    let row = Row {
        partition: "p".into(),
        sort: "s".into(),
        tag: "t".into(),
        value: "{}".into(),
        expires: 5,
    };
    let write = Write { row: &row, condition: Condition::AbsentOrTag("t") };
    let request = (DYNAMO.encode_transact)("127.0.0.1:1", &[write]);
    assert_eq!(request.headers()["x-amz-target"], "DynamoDB_20120810.TransactWriteItems");
    assert_eq!((DYNAMO.decode_transact)(StatusCode::OK, b"{}"), Ok(Outcome::Committed));
}
