//! Validation reports all problems of a document or of settings, each with its position.

use std::time::Duration;

use agateroute_config::{parse_document, parse_settings, reference};
use bolero::check;

/// Higher than any run needs, so that the iteration count and not the time ends a property test.
const TEST_TIME: Duration = Duration::from_secs(600);
const HUON_DOCUMENT: &str = include_str!("../../examples/huon.yaml");

/// Returns one line for each problem of a document, with position and message.
fn problems(text: &str) -> Vec<String> {
    let error = parse_document("test.yaml", text).expect_err("a document with problems");
    error.to_string().lines().map(str::to_owned).collect()
}

#[test]
fn examples_valid() {
    parse_document("huon.yaml", HUON_DOCUMENT).expect("huon.yaml");
    let verband = include_str!("../../examples/verband.yaml");
    parse_document("verband.yaml", verband).expect("verband.yaml");
    for text in
        [include_str!("../../examples/entry-1.yaml"), include_str!("../../examples/entry-2.yaml")]
    {
        parse_settings("entry.yaml", text).expect("settings");
    }
}

#[test]
fn all_problems_reported() {
    let text = "\
deployment: x
ranks:
  - {name: urgent, first_token_ms: 0, between_tokens_ms: 1, answer_ms: 1}
surprise: 1
organisations:
  - {name: yew, keys: [{sha256: nonsense}], shares: 2}
";
    let all = problems(text);
    assert!(all.iter().any(|p| p.starts_with("test.yaml:3:") && p.contains("minimum")), "{all:?}");
    assert!(all.iter().any(|p| p.starts_with("test.yaml:4:1: field \"surprise\"")), "{all:?}");
    assert!(
        all.iter().any(|p| p.starts_with("test.yaml:6:") && p.contains("\"shares\"")),
        "{all:?}"
    );
    assert!(all.iter().any(|p| p.contains("nonsense")), "{all:?}");
}

#[test]
fn dangling_names() {
    let text = "\
deployment: x
ranks: [{name: urgent, first_token_ms: 1, between_tokens_ms: 1, answer_ms: 1}]
models: [{name: prose, version: '1', context_tokens: 1, kinds: [{name: draft, rank: late}]}]
servers:
  - {name: e, address: nowhere, zone: a, engine: {models: [verse], memory_tokens: 1}}
  - {name: e, address: '127.0.0.1:1', zone: a}
organisations:
  - {name: yew, models: [verse], services: [orders], keys: [{sha256: 'KEY'}]}
  - {name: box, keys: [{sha256: 'KEY'}]}
"
    .replace("KEY", &"0".repeat(64));
    let all = problems(&text);
    for part in [
        "rank \"late\" of request kind \"draft\" does not exist in ranks",
        "model \"prose\" is run by no backend server",
        "address \"nowhere\" is not an IP address with a port",
        "model \"verse\" does not exist in models",
        "backend server \"e\" is declared twice",
        "needs exactly one of engine and plain",
        "model \"verse\" granted to \"yew\" does not exist in models",
        "service \"orders\" granted to \"yew\" does not exist in services",
        "a key of \"box\" is declared twice",
    ] {
        assert!(all.iter().any(|p| p.contains(part)), "{part}: {all:#?}");
    }
    let lines: Vec<u64> = all.iter().filter_map(|p| p.split(':').nth(1)?.parse().ok()).collect();
    assert!(lines.is_sorted(), "problems are sorted by position: {all:#?}");
}

#[test]
fn broken_yaml() {
    for text in ["", "a: [", "- 1\n- 2\n", "a: 1\na: 2\n", "\t", "deployment: *nowhere\n"] {
        let all = problems(text);
        assert!(all[0].starts_with("test.yaml:"), "{all:?}");
    }
}

#[test]
fn floor_sum_bounded() {
    let rank = |name| {
        format!(
            "  - {{name: {name}, first_token_ms: 1, between_tokens_ms: 1, answer_ms: 1, \
             floor_percent: 60}}\n"
        )
    };
    let text = format!("deployment: x\nranks:\n{}{}", rank("one"), rank("two"));
    assert!(problems(&text)[0].contains("120 percent"));
}

#[test]
fn settings_checked() {
    let text = "instance: a\nzone: z\nlisten: here\npeer: 127.0.0.1:1\nops: 127.0.0.1:2\n";
    let error = parse_settings("s.yaml", text).expect_err("problems").to_string();
    assert!(error.contains("s.yaml:3:1: address \"here\""), "{error}");
    assert!(error.contains("neither platform nor document is set"), "{error}");
}

#[test]
fn arbitrary_bytes() {
    check!().with_iterations(1_000).with_test_time(TEST_TIME).for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let _ = parse_document("test.yaml", &text);
        let _ = parse_settings("test.yaml", &text);
    });
}

#[test]
fn damaged_document() {
    // Guards against a panic of the validation on a valid document with one damaged range.
    check!().with_type::<(u16, u8, u8)>().with_iterations(300).with_test_time(TEST_TIME).for_each(
        |(at, cut, byte)| {
            let mut bytes = HUON_DOCUMENT.as_bytes().to_vec();
            let at = usize::from(*at) % bytes.len();
            let end = (at + usize::from(*cut)).min(bytes.len());
            bytes.splice(at..end, [*byte]);
            let _ = parse_document("test.yaml", &String::from_utf8_lossy(&bytes));
        },
    );
}

#[test]
fn reference_current() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    assert!(
        page == reference::reference_page(),
        "docs/CONFIGURATION.md is not current: write it with `agatectl config reference`"
    );
}

#[test]
fn renamed_key() {
    let text = "members: []\n";
    let all = problems(text);
    assert!(all.iter().any(|p| p.contains("write organisations")), "{all:?}");
}
