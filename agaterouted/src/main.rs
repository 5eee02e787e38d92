//! The agateroute daemon.

mod account;
mod args;
mod auth;
mod body;
mod call;
mod claims;
mod client;
mod collect;
mod engine;
mod error;
mod fleet;
mod follow;
mod front;
mod generation;
mod jobs;
mod log;
mod ops;
mod peers;
mod plain;
mod platform;
mod record;
mod report;
mod run;
mod shell;
mod stream;
mod tallies;
mod telemetry;
mod watch;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = args::args().run();
    match run::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("agaterouted: {e}");
            ExitCode::FAILURE
        }
    }
}
