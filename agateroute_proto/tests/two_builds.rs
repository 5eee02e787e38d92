//! Instances of two builds exchange messages while machines are replaced one after the other. Guards against a field whose
//! number or type changed, a value that a build before does not send and that is then taken for something else, and a batch
//! that is lost with its other messages over one that the reader does not know.
//!
//! The files in `recorded` hold what the build of a commit wrote: each line a name and bytes in hexadecimal digits. See
//! `docs/DESIGN.md`, "Two builds side by side".
#![allow(
    clippy::needless_update,
    reason = "fields that are added later stay out of recorded messages"
)]

use agateroute_proto::peers::forward_part::Part;
use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::*;
use prost::Message as _;
use prost::encoding::{WireType, encode_key, encode_varint};

const LAST_LANDING: &str = include_str!("recorded/3cefccd.txt");
/// The last build without limits, forwarded requests and departures that servers announce in answers.
const BEFORE_LIMITS: &str = include_str!("recorded/4e0d579.txt");
/// Greater than any field number of the messages.
const UNKNOWN_FIELD: u32 = 1_000;
const UNKNOWN_VALUE: i32 = 1_000;

/// Returns the bytes that a build wrote under a name.
fn recorded(build: &str, name: &str) -> Vec<u8> {
    let line = build.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("{name} is not recorded"));
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn message(body: Body) -> Message {
    Message { body: Some(body) }
}

/// One message of each kind that the last landing sends, with a value in every field.
fn bodies() -> Vec<Body> {
    let (request, server) = (7, 0x0123_4567_89ab_cdef);
    let (organisation, target, kind) = (u64::MAX, 3, 4);
    let origin =
        StreamOrigin { stream: 5, target, version: 6, left_ms: 9_000, ..Default::default() };
    vec![
        Body::Ask(Ask {
            request,
            server,
            organisation,
            target,
            kind,
            rank: 5,
            prompt: 100,
            most: 200,
            wait_ms: 300,
            alone: true,
            prefix: 8,
            shared: 64,
            hint: 150,
            moving: true,
            target_ms: 400,
            target_left_ms: 350,
            limit: Some(2_000),
            brittle: Some(3),
            ..Default::default()
        }),
        Body::Grant(Grant {
            request,
            server,
            pressure: 750,
            limit: Some(0),
            brittle: Some(1),
            ..Default::default()
        }),
        Body::Deny(Deny {
            request,
            server,
            reason: DenyReason::OverShare.into(),
            retry_ms: 50,
            pressure: 1_200,
            ..Default::default()
        }),
        Body::Withdraw(Withdraw {
            request,
            server,
            reason: WithdrawReason::OwnerChanged.into(),
            ..Default::default()
        }),
        Body::Release(Release {
            request,
            server,
            tokens: 90,
            whole: true,
            took_ms: 1_500,
            cancelled: true,
            ..Default::default()
        }),
        Body::Progress(Progress { request, server, tokens: 40, ..Default::default() }),
        Body::Hold(Hold {
            request,
            server,
            organisation,
            target,
            kind,
            rank: 5,
            prompt: 100,
            tokens: 40,
            ..Default::default()
        }),
        Body::Sign(Sign { server, refused: true, leaving: true, said: true, ..Default::default() }),
        Body::Suspect(Suspect { fingerprint: 11, crashes: 2, ..Default::default() }),
        Body::Claim(Claim {
            request,
            row: "calls-a/row".to_owned(),
            attempt: "attempt".to_owned(),
            digest: "digest".to_owned(),
            record: "{}".to_owned(),
            settle: true,
            replaces: "other/settled".to_owned(),
            wait_ms: 200,
            ..Default::default()
        }),
        Body::ClaimResult(ClaimResult {
            request,
            outcome: ClaimOutcome::Unavailable.into(),
            record: "{}".to_owned(),
            ..Default::default()
        }),
        Body::TallyRow(TallyRow {
            row: "tally-2026-12-05/a/1/000".to_owned(),
            record: "{}".to_owned(),
            ..Default::default()
        }),
        Body::Load(Load { server, pressure: 800, ..Default::default() }),
        Body::Reset(Reset { ..Default::default() }),
        Body::TurnAsk(TurnAsk { request, server, worth: 12, ..Default::default() }),
        Body::Turn(Turn { request, server, ..Default::default() }),
        Body::TurnDone(TurnDone { request, server, ..Default::default() }),
        Body::PartCrash(PartCrash {
            server,
            parts: vec![CrashedPart { part: 13, proven: true, ..Default::default() }],
            began: true,
            ..Default::default()
        }),
        Body::PartSurvived(PartSurvived { parts: vec![13, 14], ..Default::default() }),
        Body::PartBlock(PartBlock { part: 13, left_ms: 60_000, ..Default::default() }),
        Body::StreamOrigins(StreamOrigins { origins: vec![origin], ..Default::default() }),
        Body::StreamAsk(StreamAsk { request, stream: 5, ..Default::default() }),
        Body::StreamReply(StreamReply { request, origin: Some(origin), ..Default::default() }),
        Body::ServerNotice(ServerNotice {
            request,
            server,
            limit: Some(300),
            brittle: Some(2),
            ..Default::default()
        }),
        Body::Charge(Charge { server, ..Default::default() }),
    ]
}

fn batch() -> Batch {
    let hello = Hello {
        instance: "entry-1".to_owned(),
        start: 1_796_000_000_000,
        zone: "zone-a".to_owned(),
        address: "127.0.0.1:9000".to_owned(),
        ..Default::default()
    };
    Batch {
        hello: Some(hello),
        version: 42,
        messages: bodies().into_iter().map(message).collect(),
        leaving: true,
        cut_off: true,
        cut: true,
        ..Default::default()
    }
}

fn fetch_request() -> FetchRequest {
    FetchRequest {
        version: 42,
        servers_seen: 15,
        document_era: 2,
        list_source: 16,
        list_number: 17,
        ..Default::default()
    }
}

fn fetch_reply() -> FetchReply {
    FetchReply {
        version: 42,
        document: "{}".to_owned(),
        reading_age: 501,
        servers: "[]".to_owned(),
        servers_seen: 15,
        servers_age: 601,
        servers_revision: 700,
        document_era: 2,
        era: 3,
        servers_changed: true,
        servers_removed: vec!["ledger-1".to_owned()],
        list_source: 16,
        list_number: 17,
        ..Default::default()
    }
}

fn header() -> ForwardHeader {
    ForwardHeader { name: "x-name".to_owned(), value: vec![0xff, b'a'], ..Default::default() }
}

fn forward_request() -> ForwardRequest {
    ForwardRequest {
        method: "POST".to_owned(),
        path: "/order/?a=b".to_owned(),
        headers: vec![header()],
        body: b"a body".to_vec(),
        elapsed_ms: 20,
        version: 42,
        begun: 1,
        ..Default::default()
    }
}

fn forward_parts() -> [ForwardPart; 3] {
    let headers = vec![header()];
    let refused = "no_server".to_owned();
    let head = ForwardHead { status: 503, headers, refused, ..Default::default() };
    let finish = ForwardFinish { ..Default::default() };
    [Part::Head(head), Part::Data(b"an answer".to_vec()), Part::Finish(finish)]
        .map(|part| ForwardPart { part: Some(part) })
}

/// All messages between instances as this build writes them.
fn written() -> Vec<(&'static str, Vec<u8>)> {
    let [head, data, finish] = forward_parts();
    vec![
        ("batch", batch().encode_to_vec()),
        ("fetch-request", fetch_request().encode_to_vec()),
        ("fetch-reply", fetch_reply().encode_to_vec()),
        ("forward-request", forward_request().encode_to_vec()),
        ("forward-head", head.encode_to_vec()),
        ("forward-data", data.encode_to_vec()),
        ("forward-finish", finish.encode_to_vec()),
    ]
}

fn without_fields_of_limits(body: Body) -> Option<Body> {
    Some(match body {
        Body::Ask(ask) => Body::Ask(Ask { limit: None, brittle: None, ..ask }),
        Body::Grant(grant) => Body::Grant(Grant { limit: None, brittle: None, ..grant }),
        Body::Withdraw(withdraw) => {
            Body::Withdraw(Withdraw { reason: WithdrawReason::Unspecified.into(), ..withdraw })
        }
        Body::Sign(sign) => Body::Sign(Sign { said: false, ..sign }),
        Body::ServerNotice(_) | Body::Charge(_) => return None,
        other => other,
    })
}

/// Equal bytes are read by the build before as its own, and its messages are read here.
#[test]
fn same_bytes_as_the_last_landing() {
    for (name, bytes) in written() {
        assert_eq!(bytes, recorded(LAST_LANDING, name), "{name}");
    }
    let read = Batch::decode(&recorded(LAST_LANDING, "batch")[..]).expect("a batch");
    assert_eq!(read, batch());
    let read = FetchRequest::decode(&recorded(LAST_LANDING, "fetch-request")[..]).expect("a fetch");
    assert_eq!(read, fetch_request());
    let read = FetchReply::decode(&recorded(LAST_LANDING, "fetch-reply")[..]).expect("a reply");
    assert_eq!(read, fetch_reply());
    let read = recorded(LAST_LANDING, "forward-request");
    assert_eq!(ForwardRequest::decode(&read[..]).expect("a request"), forward_request());
    for (name, part) in
        ["forward-head", "forward-data", "forward-finish"].iter().zip(forward_parts())
    {
        let read = ForwardPart::decode(&recorded(LAST_LANDING, name)[..]).expect("a part");
        assert_eq!(read, part);
    }
}

#[test]
fn fields_of_limits_missing() {
    let read = Batch::decode(&recorded(BEFORE_LIMITS, "batch")[..]).expect("a batch");
    let bodies = bodies().into_iter().filter_map(without_fields_of_limits);
    let messages = bodies.map(message).collect();
    assert_eq!(read, Batch { messages, cut: false, ..batch() });
    for (name, bytes) in written().iter().filter(|(name, _)| name.starts_with("fetch")) {
        assert_eq!(bytes, &recorded(BEFORE_LIMITS, name), "{name}");
    }
}

/// Appends a field of each wire type that this build does not know.
fn append_unknown(bytes: &mut Vec<u8>) {
    encode_key(UNKNOWN_FIELD, WireType::Varint, bytes);
    encode_varint(300, bytes);
    encode_key(UNKNOWN_FIELD + 1, WireType::LengthDelimited, bytes);
    encode_varint(3, bytes);
    bytes.extend(b"new");
    encode_key(UNKNOWN_FIELD + 2, WireType::SixtyFourBit, bytes);
    bytes.extend(1u64.to_le_bytes());
    encode_key(UNKNOWN_FIELD + 3, WireType::ThirtyTwoBit, bytes);
    bytes.extend(1u32.to_le_bytes());
}

fn append_message(field: u32, message: &[u8], bytes: &mut Vec<u8>) {
    encode_key(field, WireType::LengthDelimited, bytes);
    encode_varint(message.len() as u64, bytes);
    bytes.extend(message);
}

#[test]
fn unknown_fields_ignored() {
    let with_unknown = |mut bytes: Vec<u8>| {
        append_unknown(&mut bytes);
        bytes
    };
    let read = Batch::decode(&with_unknown(batch().encode_to_vec())[..]).expect("a batch");
    assert_eq!(read, batch());
    let bytes = with_unknown(fetch_request().encode_to_vec());
    assert_eq!(FetchRequest::decode(&bytes[..]).expect("a fetch"), fetch_request());
    let bytes = with_unknown(fetch_reply().encode_to_vec());
    assert_eq!(FetchReply::decode(&bytes[..]).expect("a reply"), fetch_reply());
    let bytes = with_unknown(forward_request().encode_to_vec());
    assert_eq!(ForwardRequest::decode(&bytes[..]).expect("a request"), forward_request());
    for part in forward_parts() {
        let read = ForwardPart::decode(&with_unknown(part.encode_to_vec())[..]);
        assert_eq!(read.expect("a part"), part);
    }
    for body in bodies() {
        let encoded = message(body.clone()).encode_to_vec();
        // The number and the length of the kind take a varint each, then comes the content.
        let mut content = &encoded[..];
        let key = prost::encoding::decode_varint(&mut content).expect("a key");
        prost::encoding::decode_varint(&mut content).expect("a length");
        let mut bytes = Vec::new();
        append_message((key >> 3) as u32, &with_unknown(content.to_vec()), &mut bytes);
        assert_eq!(Message::decode(&bytes[..]).expect("a message"), message(body));
    }
}

#[test]
fn unknown_kind_of_message() {
    const MESSAGES: u32 = 3;
    let mut unknown = Vec::new();
    append_message(UNKNOWN_FIELD, b"any bytes", &mut unknown);
    let mut bytes = Vec::new();
    append_message(MESSAGES, &unknown, &mut bytes);
    bytes.extend(batch().encode_to_vec());
    append_message(MESSAGES, &unknown, &mut bytes);
    let read = Batch::decode(&bytes[..]).expect("a batch");
    let known: Vec<Body> = read.messages.into_iter().filter_map(|m| m.body).collect();
    assert_eq!(known, bodies());
    let part = ForwardPart::decode(&unknown[..]).expect("a part");
    assert_eq!(part, ForwardPart { part: None });
}

/// A value that a later build adds stands for the one that says least.
#[test]
fn unknown_values() {
    let deny = Deny { reason: UNKNOWN_VALUE, ..Default::default() };
    let read = Deny::decode(&deny.encode_to_vec()[..]).expect("a denial");
    assert_eq!(read.reason(), DenyReason::Unspecified);
    let withdraw = Withdraw { reason: UNKNOWN_VALUE, ..Default::default() };
    let read = Withdraw::decode(&withdraw.encode_to_vec()[..]).expect("a withdrawal");
    assert_eq!(read.reason(), WithdrawReason::Unspecified);
    let result = ClaimResult { outcome: UNKNOWN_VALUE, ..Default::default() };
    let read = ClaimResult::decode(&result.encode_to_vec()[..]).expect("a result");
    assert_eq!(read.outcome(), ClaimOutcome::Unspecified);
}
