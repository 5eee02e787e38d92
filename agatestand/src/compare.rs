//! Experiment: the same load with each baseline and through agateroute, in one run.

use std::time::Duration;

use agateroute_config::Document;
use agatestand::baseline::{Balancer, Policy};
use agatestand::cases::Case;
use agatestand::engine::Control;
use agatestand::load::{self, Target, client};
use agatestand::results::{FlowResult, RunResult};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// Pause between two runs of the load, in which the engines finish their work.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time between the notice to an engine that is reclaimed and its crash.
const RECLAIM_NOTICE_MS: u64 = 2_000;

/// Parameters of the experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Document that lists the backend servers.
    pub document: Document,
    /// Addresses of agateroute instances.
    pub targets: Vec<String>,
    /// Case of the experiment.
    pub case: Case,
    /// Generations per second that use 80 percent of the capacity.
    pub rate: f64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Number of slots per server, for each baseline with fixed slots.
    pub slots: Vec<usize>,
    /// Whether one engine crashes and another is reclaimed in the middle of each run.
    pub crash: bool,
    /// Whether to run agateroute alone, without the baselines.
    pub alone: bool,
}

/// Runs the experiment and prints a Markdown table, then the results by organisation.
pub async fn run(plan: &Plan) {
    let addresses = |engine: bool| -> Vec<String> {
        let servers = plan.document.servers.iter().filter(|s| s.engine.is_some() == engine);
        servers.map(|s| s.address.clone()).collect()
    };
    let (engines, services) = (addresses(true), addresses(false));
    let mut policies = vec![
        ("round robin".to_owned(), Policy::RoundRobin),
        ("least outstanding".to_owned(), Policy::LeastOutstanding),
    ];
    let slots = plan.slots.iter().map(|n| (format!("{n} slots"), Policy::FixedSlots(*n)));
    policies.extend(slots);
    if plan.alone {
        policies.clear();
    }
    print_header(plan);
    let mut results = Vec::new();
    for (name, policy) in policies {
        let balancer = Balancer::new(policy, &engines);
        let calls = Balancer::new(Policy::LeastOutstanding, &services);
        let target = Target::Direct { engines: balancer, services: calls };
        let result = run_load(plan, &target, &engines).await;
        print_row(plan, &name, &result);
        results.push((name, result));
    }
    let target = Target::Balanced(plan.targets.clone());
    let result = run_load(plan, &target, &engines).await;
    print_row(plan, "agateroute", &result);
    results.push(("agateroute".to_owned(), result));
    print_organisations(plan, &results);
}

async fn run_load(plan: &Plan, target: &Target, engines: &[String]) -> RunResult {
    let spec = plan.case.spec(&plan.document, plan.rate, plan.seconds, plan.seed);
    let failures = [
        (engines[0].clone(), Control::Crash),
        (engines[1 % engines.len()].clone(), Control::Reclaim { notice_ms: RECLAIM_NOTICE_MS }),
    ];
    let delay = Duration::from_secs_f64(plan.seconds / 2.0);
    for (engine, control) in failures.into_iter().filter(|_| plan.crash) {
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let body = serde_json::to_vec(&control).unwrap_or_default();
            let request = Request::post(format!("http://{engine}/control"));
            if let Ok(request) = request.body(Full::<Bytes>::from(body)) {
                let _ = client(false).request(request).await;
            }
        });
    }
    let result = load::run(&spec, target, engines).await;
    tokio::time::sleep(SETTLE_TIME).await;
    result
}

fn print_header(plan: &Plan) {
    println!(
        "case {:?}, seed {}, {} s of arrivals, {} generations/s at 80 percent\n",
        plan.case, plan.seed, plan.seconds, plan.rate
    );
    println!(
        "| policy | generations | on time | preemptions/1000 | stall ms each | gap p95 ms | gap p99 ms | \
         first p50 ms | urgent generations on time | deferrable share of tokens | calls on time | not run | partial | broken | \
         violations |"
    );
    println!("|{}", " --- |".repeat(15));
}

fn print_organisations(plan: &Plan, results: &[(String, RunResult)]) {
    println!();
    for (name, result) in results {
        println!("{name}: share on time by organisation, deferrable generations");
        let deferrable: Vec<&FlowResult> =
            result.flows.iter().filter(|f| is_generation(plan, f) && !is_urgent(plan, f)).collect();
        let shares = deferrable.iter().map(|f| {
            format!("{} {:.2} of {} ({} tokens)", f.organisation, f.on_time(), f.total(), f.tokens)
        });
        println!("  {}", shares.collect::<Vec<_>>().join(", "));
    }
}

fn is_generation(plan: &Plan, flow: &FlowResult) -> bool {
    plan.document.models.iter().any(|m| m.kinds.iter().any(|k| k.name == flow.kind))
}

fn is_urgent(plan: &Plan, flow: &FlowResult) -> bool {
    plan.document.rank_index(&flow.rank) == Some(0)
}

fn print_row(plan: &Plan, name: &str, result: &RunResult) {
    let generations = result.sum("generations", |f| is_generation(plan, f));
    let urgent = result.sum("urgent", |f| is_generation(plan, f) && is_urgent(plan, f));
    let calls = result.sum("calls", |f| !is_generation(plan, f));
    let all = result.sum("all", |_| true);
    let ms = |us: u64| us as f64 / 1000.0;
    let preemptions = result
        .preemptions
        .map_or(f64::NAN, |p| 1000.0 * p as f64 / generations.total().max(1) as f64);
    println!(
        "| {name} | {} | {:.3} | {preemptions:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {} |",
        generations.total(),
        generations.on_time(),
        generations.stall_ms(),
        ms(generations.gaps_us.value_at_quantile(0.95)),
        ms(generations.gaps_us.value_at_quantile(0.99)),
        ms(generations.first_us.value_at_quantile(0.5)),
        urgent.on_time(),
        1.0 - urgent.early_tokens as f64 / generations.early_tokens.max(1) as f64,
        calls.on_time(),
        all.outcomes[2],
        all.outcomes[3],
        all.outcomes[5],
        all.violations,
    );
}
