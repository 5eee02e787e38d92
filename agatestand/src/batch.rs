//! The engine's scheduler: continuous batching in steps, with a memory that can run out.
//!
//! A job holds its prompt and its tokens in memory while it runs. When a step would pass the memory,
//! the least urgent and newest job is preempted: its memory is freed, and it is computed again from
//! the start when there is room, while its stream stalls.

/// Tokens of prompts that one step can compute beside its decoding.
const MAX_STEP_PREFILL_TOKENS: u64 = 2_048;
/// The tokens of a prefix.
pub const PREFIX_TOKENS: u64 = 128;
/// The prompts whose prefixes are kept.
const MAX_PREFIXES: usize = 64;

/// A generation on the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identifier.
    pub generation: String,
    /// Its priority, 0 for the most urgent.
    pub priority: u8,
    /// The prompt, in tokens.
    pub prompt: u64,
    /// The hash of the start of the prompt.
    pub prefix: u64,
    /// The length that it will reach, which nobody else knows.
    pub length: u64,
    /// The tokens generated.
    pub tokens: u64,
    /// The tokens that still have to be computed before it goes on.
    pub prefill: u64,
    arrival: u64,
}

/// What a step did to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The generation.
    pub generation: String,
    /// Its tokens so far.
    pub tokens: u64,
    /// Whether it ended.
    pub done: bool,
}

/// The state of the scheduler.
#[derive(Clone, Debug)]
pub struct Batch {
    memory: u64,
    max_size: usize,
    waiting: Vec<Job>,
    running: Vec<Job>,
    prefixes: Vec<u64>,
    arrivals: u64,
    preemptions: u64,
    pending_changes: Vec<(u64, bool)>,
}

impl Job {
    /// A job that has not started.
    pub fn new(generation: &str, priority: u8, prompt: u64, prefix: u64, length: u64) -> Job {
        Job {
            generation: generation.to_owned(),
            priority,
            prompt,
            prefix,
            length,
            tokens: 0,
            prefill: prompt,
            arrival: 0,
        }
    }

    fn held_tokens(&self) -> u64 {
        self.prompt + self.tokens
    }
}

impl Batch {
    /// An idle scheduler with a memory in tokens and a largest batch.
    pub fn new(memory: u64, max_size: usize) -> Batch {
        Batch {
            memory,
            max_size,
            waiting: Vec::new(),
            running: Vec::new(),
            prefixes: Vec::new(),
            arrivals: 0,
            preemptions: 0,
            pending_changes: Vec::new(),
        }
    }

    /// Queues a job.
    pub fn add(&mut self, mut job: Job) {
        self.arrivals += 1;
        job.arrival = self.arrivals;
        self.waiting.push(job);
    }

    /// Removes a job.
    pub fn cancel(&mut self, generation: &str) {
        self.waiting.retain(|j| j.generation != generation);
        self.running.retain(|j| j.generation != generation);
    }

    /// The tokens in memory.
    pub fn used(&self) -> u64 {
        let total: u64 = self.running.iter().map(Job::held_tokens).sum();
        total - self.shared_tokens()
    }

    /// The tokens of prefixes that are held once for several jobs.
    fn shared_tokens(&self) -> u64 {
        let mut prefixes: Vec<u64> =
            self.running.iter().map(|j| j.prefix).filter(|p| self.prefixes.contains(p)).collect();
        prefixes.sort_unstable();
        let all = prefixes.len();
        prefixes.dedup();
        PREFIX_TOKENS * (all - prefixes.len()) as u64
    }

    /// What has changed in the prefix cache since the last call: prefixes and whether they are cached.
    pub fn cache_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.pending_changes)
    }

    /// The jobs in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Computes one step.
    pub fn step(&mut self) -> Vec<Progress> {
        self.admit();
        self.preempt();
        self.prefill();
        let mut progress = Vec::new();
        for job in self.running.iter_mut().filter(|j| j.prefill == 0) {
            job.tokens += 1;
            progress.push(Progress {
                generation: job.generation.clone(),
                tokens: job.tokens,
                done: job.tokens >= job.length,
            });
        }
        self.running.retain(|j| j.tokens < j.length);
        progress
    }

    /// Takes jobs into the batch while their prompts fit, the most urgent and oldest first.
    fn admit(&mut self) {
        self.waiting.sort_by_key(|j| (j.priority, j.arrival));
        while self.running.len() < self.max_size && !self.waiting.is_empty() {
            let fits = self.used() + self.waiting[0].held_tokens() < self.memory;
            if !fits && !self.running.is_empty() {
                return;
            }
            let mut job = self.waiting.remove(0);
            job.prefill = job.held_tokens();
            if self.prefixes.contains(&job.prefix) {
                job.prefill /= 4;
            }
            self.cache_prefix(job.prefix);
            self.running.push(job);
        }
    }

    fn cache_prefix(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        let known = self.prefixes.len();
        self.prefixes.retain(|p| *p != prefix);
        if self.prefixes.len() == known {
            self.pending_changes.push((prefix, true));
        }
        self.prefixes.push(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            let evicted = self.prefixes.remove(0);
            self.pending_changes.push((evicted, false));
        }
    }

    /// Preempts the least urgent and newest jobs until the next step fits.
    fn preempt(&mut self) {
        while self.running.len() > 1 && self.used() + self.running.len() as u64 > self.memory {
            let keys = self.running.iter().map(|j| (j.priority, j.arrival));
            let Some((at, _)) = keys.enumerate().max_by_key(|(_, key)| *key) else { return };
            let job = self.running.remove(at);
            self.preemptions += 1;
            self.waiting.push(job);
        }
    }

    fn prefill(&mut self) {
        let mut budget = MAX_STEP_PREFILL_TOKENS;
        for job in self.running.iter_mut() {
            let step_tokens = job.prefill.min(budget);
            job.prefill -= step_tokens;
            budget -= step_tokens;
        }
    }
}
