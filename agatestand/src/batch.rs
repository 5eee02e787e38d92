//! Scheduler of the simulated engine: continuous batching in steps, with limited memory.
//!
//! A job holds its prompt and its tokens in memory while it runs. If a step would exceed the memory,
//! the least urgent and newest job is preempted: its memory is freed, and its tokens are recomputed
//! once there is room. Its stream stalls until then.

/// Maximum number of prompt tokens computed in one step, in addition to decoding.
const MAX_STEP_PREFILL_TOKENS: u64 = 2_048;
/// Length of a cacheable prefix, in tokens.
pub const PREFIX_TOKENS: u64 = 128;
/// Maximum number of prefixes in the prefix cache.
const MAX_PREFIXES: usize = 64;

/// Generation that waits or runs on the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Generation id.
    pub generation: String,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Hash of the start of the prompt; 0 if the prompt is too short to be cached.
    pub prefix: u64,
    /// Final length of the output, in tokens. It is not visible outside the engine.
    pub length: u64,
    /// Tokens generated so far.
    pub tokens: u64,
    /// Tokens to compute before the next token can be generated.
    pub prefill: u64,
    arrival: u64,
}

/// Progress of a job in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Generation id.
    pub generation: String,
    /// Tokens generated so far.
    pub tokens: u64,
    /// Whether the generation has ended.
    pub done: bool,
}

/// State of the scheduler: the queue, the batch and the prefix cache.
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
    /// Creates a job that has not started.
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
    /// Creates an idle scheduler with a memory in tokens and a maximum batch size.
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

    /// Queues a job until it fits into the batch and the memory.
    pub fn add(&mut self, mut job: Job) {
        self.arrivals += 1;
        job.arrival = self.arrivals;
        self.waiting.push(job);
    }

    /// Removes a job, whether it waits or runs.
    pub fn cancel(&mut self, generation: &str) {
        self.waiting.retain(|j| j.generation != generation);
        self.running.retain(|j| j.generation != generation);
    }

    /// Returns the number of tokens in memory. A prefix shared by several jobs counts once.
    pub fn used(&self) -> u64 {
        let total: u64 = self.running.iter().map(Job::held_tokens).sum();
        total - self.shared_tokens()
    }

    /// Returns the number of tokens saved by sharing cached prefixes between running jobs.
    fn shared_tokens(&self) -> u64 {
        let mut prefixes: Vec<u64> =
            self.running.iter().map(|j| j.prefix).filter(|p| self.prefixes.contains(p)).collect();
        prefixes.sort_unstable();
        let all = prefixes.len();
        prefixes.dedup();
        PREFIX_TOKENS * (all - prefixes.len()) as u64
    }

    /// Returns the prefixes inserted (`true`) or evicted (`false`) since the last call.
    pub fn cache_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.pending_changes)
    }

    /// Returns the number of jobs in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of preemptions since the start.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Computes one step and returns the progress of each job that got a token.
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

    /// Admits waiting jobs while their prompts fit into memory, the most urgent and oldest first.
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

    /// Preempts the least urgent and newest jobs until the next step fits into memory.
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
