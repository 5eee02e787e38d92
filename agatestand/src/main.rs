//! Command-line tool that runs simulated systems, loads, soaks and measurements.

mod args;
mod bench;
mod compare;
mod demo;
mod fleet;
mod propagate;
mod resources;
mod soaks;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use agatestand::cases::Case;
use agatestand::load::{self, Target};
use agatestand::platform::PlatformOptions;
use agatestand::service::ServiceOptions;
use agatestand::soak::Options;
use agatestand::spec::LoadSpec;

use crate::args::{Command, command};
use crate::bench::BenchPlan;

#[tokio::main]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("agatestand: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("read {}: {e}", path.display()))
}

async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Engine { flags, listen } => fleet::engines(&flags, &listen).await,
        Command::Service { time, workers, fenced, listen } => {
            let time = Duration::from_millis(time);
            fleet::services(&ServiceOptions { time, workers, fenced }, &listen).await
        }
        Command::Platform { writes, reads, listen } => {
            let options = PlatformOptions { writes, reads, ..PlatformOptions::default() };
            fleet::platform(options, &listen).await
        }
        Command::Fleet { flags, platform, document } => {
            let text = read_file(&document)?;
            let file = document.display().to_string();
            let document = agateroute_config::parse_document(&file, &text);
            let document = document.map_err(|e| e.to_string())?;
            fleet::fleet(&flags, &document, platform.as_deref()).await
        }
        Command::Load { targets, engines, json, spec } => {
            let text = read_file(&spec)?;
            let spec: LoadSpec = serde_saphyr::from_str(&text).map_err(|e| e.to_string())?;
            let result = load::run(&spec, &Target::Balanced(targets), &engines).await;
            match json {
                true => println!("{}", result.to_json()),
                false => println!("{}", result.to_markdown()),
            }
            Ok(())
        }
        Command::Bench { engine, target, pid, key, model, streams, requests, tokens } => {
            let plan = BenchPlan { engine, target, pid, key, model, streams, requests, tokens };
            bench::run(&plan).await;
            Ok(())
        }
        Command::Compare { document, targets, case, rate, seconds, seed, slots, crash, alone } => {
            let text = read_file(&document)?;
            let file = document.display().to_string();
            let document = agateroute_config::parse_document(&file, &text);
            let document = document.map_err(|e| e.to_string())?;
            let case = Case::parse(&case).ok_or(format!("case {case:?} does not exist"))?;
            let plan =
                compare::Plan { document, targets, case, rate, seconds, seed, slots, crash, alone };
            compare::run(&plan).await;
            Ok(())
        }
        Command::Propagate { platform, ops, changes, outage_each, document } => {
            let text = read_file(&document)?;
            let file = document.display().to_string();
            let document = agateroute_config::parse_document(&file, &text);
            let document = document.map_err(|e| e.to_string())?;
            let plan = propagate::Plan { document, platform, ops, changes, outage_each };
            propagate::run(&plan).await
        }
        Command::Slopes { label, pids, ops, platform, seconds, head } => {
            if head {
                resources::print_header();
            }
            let duration = Duration::from_secs_f64(seconds);
            resources::run(&resources::Plan { label, pids, ops, platform, duration }).await;
            Ok(())
        }
        Command::Soak {
            program,
            seed,
            seeds,
            jobs,
            seconds,
            instances,
            ledgers,
            writers,
            callers,
            logs,
        } => {
            let first = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
            let duration = Duration::from_secs_f64(seconds);
            let options = Options {
                program,
                seed: first,
                duration,
                instances,
                ledgers,
                writers,
                callers,
                check_timing: true,
            };
            soaks::run(&options, seeds, jobs, logs.as_deref()).await
        }
        Command::Document { organisations, engines, models } => {
            println!("{:#}", agatestand::synthetic::document(organisations, engines, models));
            Ok(())
        }
        Command::Tour { target, key } => demo::run(&target, &key).await,
    }
}
