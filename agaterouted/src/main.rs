//! The agateroute daemon.

use std::process::ExitCode;

use agaterouted::{args, run};

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
