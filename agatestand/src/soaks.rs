//! Runs a soak for each of several seeds.

use std::path::Path;

use agatestand::soak::{self, Options, Outcome};
use futures_util::StreamExt;

/// Runs soaks for consecutive seeds, `jobs` at a time, and prints their results. Fails if any of them
/// has a violation, and writes its instance logs to the directory `logs`.
pub async fn run(
    options: &Options,
    seeds: u64,
    jobs: usize,
    logs: Option<&Path>,
) -> Result<(), String> {
    let mut failed_seeds = Vec::new();
    let run_seed = async |seed| (seed, soak::run(&Options { seed, ..options.clone() }).await);
    let all = futures_util::stream::iter(options.seed..options.seed + seeds).map(run_seed);
    let mut outcomes = std::pin::pin!(all.buffer_unordered(jobs.max(1)));
    while let Some(outcome) = outcomes.next().await {
        report(outcome, logs, &mut failed_seeds)?;
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(format!("violations with seeds {failed_seeds:?}")),
    }
}

fn report(
    (seed, outcome): (u64, Result<Outcome, String>),
    logs: Option<&Path>,
    failed_seeds: &mut Vec<u64>,
) -> Result<(), String> {
    let outcome = outcome.map_err(|e| format!("seed {seed}: {e}"))?;
    let Outcome { violations, injected, mut answers, requests, logs: lines, .. } = outcome;
    let (stop_counts, stream_counts) = (outcome.stop_counts, outcome.stream_counts);
    answers.sort_unstable();
    let count = violations.len();
    println!(
        "seed={seed} requests={requests} broken={count} answers={answers:?} done={injected:?} {stop_counts:?} {stream_counts:?}"
    );
    for violation in &violations {
        println!("  {violation}");
    }
    if violations.is_empty() {
        return Ok(());
    }
    failed_seeds.push(seed);
    if let Some(directory) = logs {
        let file = directory.join(format!("{seed}.log"));
        std::fs::create_dir_all(directory).map_err(|e| format!("logs: {e}"))?;
        std::fs::write(&file, lines.join("\n")).map_err(|e| format!("logs: {e}"))?;
    }
    Ok(())
}
