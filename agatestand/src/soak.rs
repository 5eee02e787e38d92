//! A soak: real instances as processes, callers that keep their connections, and trouble drawn from a seed,
//! in series and overlapping, while the promises are checked from what callers and servers see.
//!
//! `docs/TESTING.md` tells what is checked and how a seed is played again.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::StatusCode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::{self, SoakState, run_caller};
use crate::fault_plan::FaultPlan;
use crate::instance::Instance;
use crate::load::client;
use crate::testbed::Testbed;

/// The pause between two looks at what is due and what servers ran.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest pause between two injections, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;
/// The pause between two versions of the document, beside those that come in a row.
const VERSION_INTERVAL: Duration = Duration::from_millis(1_500);
/// The troubles that begin at one moment at most.
const MAX_FAULTS_AT_ONCE: u32 = 3;
/// The time after which everything has to serve again once all trouble is over. The bound of the users is
/// 12 s; the rest is for a machine that is busy with other things.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// The requests that each instance has to serve in a row then.
const PROBES_IN_A_ROW: usize = 5;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the instances.
    pub program: PathBuf,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How long there is trouble.
    pub duration: Duration,
    /// The instances.
    pub instances: usize,
    /// The plain servers.
    pub ledgers: usize,
    /// The model servers.
    pub writers: usize,
    /// The callers.
    pub callers: u64,
    /// Whether rules with a time are checked. A busy machine breaks them too, so runs that always have to
    /// come to the same verdict leave them out.
    pub check_timing: bool,
}

/// What came of a soak.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was broken.
    pub violations: Vec<String>,
    /// What was done, and how often.
    pub injected: Vec<(&'static str, u32)>,
    /// The answers by status; 0 stands for none.
    pub answers: Vec<(u16, u64)>,
    /// The requests.
    pub requests: usize,
    /// The log lines of the instances at the end.
    pub logs: Vec<String>,
}

/// Runs a soak.
pub async fn run(options: &Options) -> Result<Outcome, String> {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let mut testbed = Testbed::new(options, &cancel).await?;
    for slot in 0..options.instances {
        testbed.start(slot).await?;
    }
    let mut tasks = JoinSet::new();
    let (stop_callers, caller_state) = (cancel.child_token(), testbed.shared.clone());
    wait_until_serving(&mut testbed, "it is ready at the start").await;
    for caller in 0..options.callers {
        tasks.spawn(run_caller(caller_state.clone(), options.seed, caller, stop_callers.clone()));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut plan = FaultPlan::new(&mut rng);
    inject_faults(&mut testbed, &mut plan, &mut rng, options.duration).await?;
    plan.undo(&mut testbed, true).await?;
    wait_until_serving(&mut testbed, "it serves again after all trouble").await;
    stop_callers.cancel();
    tasks.join_all().await;
    testbed.check_runs();
    let logs = testbed.slots.iter().filter_map(|s| s.instance.as_ref()).flat_map(Instance::lines);
    let logs = testbed.logs.iter().cloned().chain(logs).collect();
    let checker = testbed.shared.checker();
    Ok(Outcome {
        violations: checker.violations.clone(),
        injected: plan.injected,
        answers: checker.answers.clone(),
        requests: checker.request_count(),
        logs,
    })
}

async fn inject_faults(
    testbed: &mut Testbed,
    plan: &mut FaultPlan,
    rng: &mut ChaCha8Rng,
    time: Duration,
) -> Result<(), String> {
    let started = Instant::now();
    let mut next = Instant::now();
    let mut version = Instant::now() + VERSION_INTERVAL;
    while started.elapsed() < time {
        if next <= Instant::now() {
            for _ in 0..rng.random_range(1..=MAX_FAULTS_AT_ONCE) {
                plan.inject(testbed, rng);
            }
            next = Instant::now() + Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
        }
        if version <= Instant::now() {
            testbed.publish();
            version = Instant::now() + VERSION_INTERVAL;
        }
        plan.undo(testbed, false).await?;
        poll_instances(testbed, plan).await?;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Has runs checked, asks who is ready, and looks after processes that ended.
async fn poll_instances(testbed: &mut Testbed, plan: &mut FaultPlan) -> Result<(), String> {
    testbed.check_runs();
    for slot in 0..testbed.slots.len() {
        poll_ready(testbed, slot);
        let Some(instance) = &mut testbed.slots[slot].instance else { continue };
        let Some(succeeded) = instance.exit_success() else { continue };
        if !succeeded || !plan.is_stopping(slot) {
            let last = instance.lines().pop().unwrap_or_default();
            let state = format!("instance {slot} ended by itself; its last line: {last}");
            testbed.shared.checker().fail("processes stay", &state);
        }
        plan.record_exit(slot);
        testbed.kill(slot);
        testbed.start(slot).await?;
    }
    Ok(())
}

/// Asks an instance in passing whether it is ready, as the balancer does.
fn poll_ready(testbed: &Testbed, slot: usize) {
    let shared: SoakState = testbed.shared.clone();
    let Some(instance) = &testbed.slots[slot].instance else {
        shared.targets[slot].ready.store(false, Ordering::Relaxed);
        return;
    };
    let ready = instance.readiness_request();
    tokio::spawn(async move {
        let open = ready.await == StatusCode::OK;
        shared.targets[slot].ready.store(open, Ordering::Relaxed);
    });
}

/// Waits until each instance serves a few requests in a row.
async fn wait_until_serving(testbed: &mut Testbed, state: &str) {
    let client = client(false);
    let started = Instant::now();
    for slot in 0..testbed.slots.len() {
        let mut in_a_row = 0;
        let mut number = 0;
        while in_a_row < PROBES_IN_A_ROW {
            if started.elapsed() > RECOVERY_TIMEOUT {
                let state = format!("instance {slot}: it never came about that {state}");
                testbed.shared.checker().fail("recovery", &state);
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
