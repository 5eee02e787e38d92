//! The command-line tool of agateroute.

mod args;
mod calls;
mod check;
mod config;
mod error;
mod status;

use std::process::ExitCode;

use crate::args::{Command, command};
use crate::error::CtlError;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), CtlError> {
    match command {
        Command::Config(command) => config::run(command).await,
        Command::Status { json, instances } => status::run(json, &instances).await,
        Command::Calls(command) => calls::run(command).await,
        Command::Report { day, out, instance } => report(&day, &out, &instance).await,
        Command::Man => {
            print!(
                "{}",
                args::command().render_manpage(
                    "agatectl",
                    bpaf::doc::Section::General,
                    None,
                    None,
                    Some("agateroute"),
                )
            );
            Ok(())
        }
    }
}

async fn report(day: &str, out: &std::path::Path, instance: &str) -> Result<(), CtlError> {
    let page = status::fetch_page(instance, &format!("/report?day={day}")).await?;
    std::fs::write(out, page).map_err(|cause| CtlError::File {
        step: "write",
        file: out.display().to_string(),
        cause,
    })
}
