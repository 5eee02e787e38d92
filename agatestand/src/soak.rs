//! Soak test: instances as processes, callers with persistent connections, and faults drawn from a
//! seed, one after the other and overlapping. A checker verifies the invariants meanwhile.
//!
//! `docs/TESTING.md` lists the checks and explains how to repeat a seed.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::StatusCode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::{self, SoakState, run_caller};
use crate::evacuations::Evacuations;
use crate::fault_plan::FaultPlan;
use crate::instance::Instance;
use crate::load::client_for;
use crate::needs::Needs;
use crate::planned::PlannedWork;
use crate::resumed::StreamCounts;
use crate::stops::StopCounts;
use crate::testbed::Testbed;

/// Interval at which faults that are due to end, instances and runs are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum pause between two injections of faults.
const MAX_PAUSE_MS: u64 = 900;
/// Interval at which versions of the document are published, in addition to those of a fault.
const VERSION_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum number of faults injected at once.
const MAX_FAULTS_AT_ONCE: u32 = 3;
/// Time within which all instances must serve again after the faults end. The requirement is 12 s;
/// the rest is for a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of consecutive requests that an instance must serve to count as serving.
const PROBES_IN_A_ROW: usize = 5;

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `agaterouted` program.
    pub program: PathBuf,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which faults are injected. It is longer if no request is served meanwhile.
    pub duration: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Number of plain servers.
    pub ledgers: usize,
    /// Number of model servers.
    pub writers: usize,
    /// Number of callers.
    pub callers: u64,
    /// Whether timed rules are checked. A busy machine violates them too, so tests that must always give
    /// the same result skip them.
    pub check_timing: bool,
}

/// Results of a soak.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Violations of the invariants.
    pub violations: Vec<String>,
    /// Number of injected faults by name.
    pub injected: Vec<(&'static str, u32)>,
    /// Number of answers by status; 0 stands for no answer.
    pub answers: Vec<(u16, u64)>,
    /// Number of requests sent.
    pub requests: usize,
    /// Requests sent to stopping instances.
    pub stop_counts: StopCounts,
    /// Streams that callers began and resumed.
    pub stream_counts: StreamCounts,
    /// Log lines of all processes.
    pub logs: Vec<String>,
}

/// Runs a soak. An error means that the testbed failed; violations are part of the outcome.
pub async fn run(options: &Options) -> Result<Outcome, String> {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let mut testbed = Testbed::new(options, &cancel).await?;
    for slot in 0..options.instances {
        testbed.start(slot).await?;
    }
    let mut tasks = JoinSet::new();
    let (stop_callers, caller_state) = (cancel.child_token(), testbed.shared.clone());
    wait_until_serving(&mut testbed, "ready at the start").await;
    for caller in 0..options.callers {
        tasks.spawn(run_caller(caller_state.clone(), options.seed, caller, stop_callers.clone()));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut plan = FaultPlan::new(&mut rng, options.seed);
    let seed = options.seed;
    let mut added = (PlannedWork::new(seed), Needs::new(seed), Evacuations::new(seed));
    inject_faults(&mut testbed, &mut plan, &mut added, &mut rng, options.duration).await?;
    plan.undo(&mut testbed, true).await?;
    added.2.wait_until_warm(&plan, &testbed).await;
    wait_until_serving(&mut testbed, "serving after all faults").await;
    stop_callers.cancel();
    tasks.join_all().await;
    testbed.check_runs();
    testbed.shared.checker().check_cuts();
    testbed.shared.checker().check_failures();
    testbed.shared.checker().check_resumed();
    testbed.shared.checker().check_needs();
    testbed.shared.checker().check_zones();
    let logs = testbed.slots.iter().filter_map(|s| s.instance.as_ref()).flat_map(Instance::lines);
    let faults = testbed.shared.checker().fault_lines();
    let logs = faults.into_iter().chain(testbed.logs.iter().cloned()).chain(logs).collect();
    let checker = testbed.shared.checker();
    Ok(Outcome {
        violations: checker.violations.clone(),
        injected: plan.injected,
        answers: checker.answers.clone(),
        requests: checker.request_count(),
        stop_counts: checker.stop_counts,
        stream_counts: checker.stream_counts,
        logs,
    })
}

async fn inject_faults(
    testbed: &mut Testbed,
    plan: &mut FaultPlan,
    (planned, needs, evacuations): &mut (PlannedWork, Needs, Evacuations),
    rng: &mut ChaCha8Rng,
    duration: Duration,
) -> Result<(), String> {
    let started = Instant::now();
    let served = |testbed: &Testbed| testbed.shared.checker().served();
    let before = served(testbed);
    // On a busy machine instances may be killed again and again before they are ready, in all of a short time.
    let goes_on = |testbed: &Testbed| {
        let elapsed = started.elapsed();
        elapsed < duration || elapsed < RECOVERY_TIMEOUT && served(testbed) == before
    };
    let mut next = Instant::now();
    let mut version = Instant::now() + VERSION_INTERVAL;
    while goes_on(testbed) {
        if next <= Instant::now() {
            for _ in 0..rng.random_range(1..=MAX_FAULTS_AT_ONCE) {
                plan.inject(testbed, rng);
                planned.inject(plan, testbed);
                needs.inject(plan, testbed);
                evacuations.inject(plan, testbed);
            }
            next = Instant::now() + Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
        }
        if version <= Instant::now() {
            testbed.publish();
            version = Instant::now() + VERSION_INTERVAL;
        }
        plan.undo(testbed, false).await?;
        evacuations.send_heartbeats(plan, testbed);
        poll_instances(testbed, plan).await?;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Checks new runs, polls the readiness of each instance, and restarts processes that have ended.
async fn poll_instances(testbed: &mut Testbed, plan: &mut FaultPlan) -> Result<(), String> {
    testbed.check_runs();
    for slot in 0..testbed.slots.len() {
        poll_ready(testbed, slot);
        let Some(instance) = &mut testbed.slots[slot].instance else { continue };
        let Some(succeeded) = instance.exit_success() else { continue };
        if !succeeded || !plan.is_stopping(slot) {
            let last = instance.lines().pop().unwrap_or_default();
            let detail = format!("instance {slot} exited unexpectedly; last line: {last}");
            testbed.shared.checker().fail("processes stay", &detail);
        }
        plan.record_exit(slot);
        testbed.kill(slot);
        testbed.start(slot).await?;
    }
    Ok(())
}

/// Polls the readiness of an instance in the background, as a load balancer does.
fn poll_ready(testbed: &Testbed, slot: usize) {
    let shared: SoakState = testbed.shared.clone();
    let Some(instance) = &testbed.slots[slot].instance else {
        shared.targets[slot].ready.store(false, Ordering::Relaxed);
        return;
    };
    let ready = instance.readiness_request(&shared.probes);
    tokio::spawn(async move {
        let open = ready.await == StatusCode::OK;
        shared.targets[slot].ready.store(open, Ordering::Relaxed);
    });
}

/// Waits until each instance serves [`PROBES_IN_A_ROW`] requests in a row. Records a violation if
/// that takes longer than [`RECOVERY_TIMEOUT`].
async fn wait_until_serving(testbed: &mut Testbed, state: &str) {
    let client = client_for(false);
    let started = Instant::now();
    for slot in 0..testbed.slots.len() {
        let mut in_a_row = 0;
        let mut number = 0;
        while in_a_row < PROBES_IN_A_ROW {
            if started.elapsed() > RECOVERY_TIMEOUT {
                let detail = format!("instance {slot}: not {state} in time");
                testbed.shared.checker().fail("recovery", &detail);
                return;
            }
            number += 1;
            let id = format!("probe-{state}-{slot}-{number}").replace(' ', "-");
            let served = callers::probe(&testbed.shared, &client, slot, &id).await;
            in_a_row = if served { in_a_row + 1 } else { 0 };
            testbed.check_runs();
            if !served {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    (0..testbed.slots.len()).for_each(|slot| poll_ready(testbed, slot));
}
