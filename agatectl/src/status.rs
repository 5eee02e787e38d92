//! Fetches and prints the status of instances.

use std::time::Duration;

use agateroute_storage::Client;
use agateroute_storage::http::request;
use serde_json::Value;

use crate::error::CtlError;

/// Timeout of each request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches a page from the ops address of an instance. Any status but success is an error.
pub async fn fetch_page(instance: &str, path: &str) -> Result<String, CtlError> {
    let client = Client::new(REQUEST_TIMEOUT);
    let (status, body) = client.call("read", instance, request("GET", instance, path, "")).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        return Ok(text);
    }
    Err(CtlError::other(format!("read {path} of {instance}: status {status}: {text}")))
}

/// Prints the status of each instance. Fails at the end if the status of any of them could not be
/// read.
pub async fn run(json: bool, instances: &[String]) -> Result<(), CtlError> {
    let mut failed = 0;
    for instance in instances {
        match fetch_page(instance, "/status").await {
            Ok(text) if json => println!("{text}"),
            Ok(text) => print_status(&serde_json::from_str(&text).unwrap_or_default()),
            Err(error) => {
                failed += 1;
                eprintln!("{error}");
            }
        }
    }
    if failed == 0 {
        return Ok(());
    }
    Err(CtlError::other(format!("{failed} of {} instances did not answer", instances.len())))
}

fn print_status(status: &Value) {
    println!(
        "instance={} zone={} version={} ready={} leaving={} active={} waiting={} running={}",
        text_or_dash(&status["instance"]),
        text_or_dash(&status["zone"]),
        status["version"],
        status["ready"],
        status["leaving"],
        status["active"],
        status["waiting"],
        status["running"],
    );
    for peer in status["peers"].as_array().into_iter().flatten() {
        println!(
            "  peer={} linked={} silent_ms={}",
            text_or_dash(&peer["instance"]),
            peer["linked"],
            peer["silent_ms"],
        );
    }
    for server in status["servers"].as_array().into_iter().flatten() {
        let report = &server["report"];
        println!(
            "  server={} closed={} waiting={} running={} account={} reported={} preemptions={}",
            text_or_dash(&server["server"]),
            server["closed"],
            server["waiting"],
            server["running"],
            server["account"],
            report["used"],
            report["preemptions"],
        );
    }
    print_fleet(status);
}

/// Prints the wanted and the loaded models of each engine, if this instance holds the fleet lease.
fn print_fleet(status: &Value) {
    if status["fencing"].is_null() {
        return;
    }
    println!("  fleet orders under fencing number {}", status["fencing"]);
    for engine in status["fleet"].as_array().into_iter().flatten() {
        let names = |list: &Value| match list.as_array() {
            Some(all) => all.iter().map(text_or_dash).collect::<Vec<_>>().join(","),
            None => "no answer".to_owned(),
        };
        println!(
            "  server={} wanted={} found={}",
            text_or_dash(&engine["server"]),
            names(&engine["wanted"]),
            names(&engine["found"]),
        );
    }
}

fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
