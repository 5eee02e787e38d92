//! Scripted scenarios for the reducer. Each script describes a failure and its expected outcome.
//!
//! Commands (see `docs/TESTING.md`): `fleet`, `arrive`, `pass`, `progress`, `end`, `finish`,
//! `abandon`, `kill`, `replace`, `cut`, `heal`, `leave`, `leaving`, `moved`, `stays`, `report`,
//! `cached`, `claim`, `table`, `controllers`.

mod simulation;

use std::error::Error;

use agateroute_core::event::{CacheUpdate, End, LoadReport, ServerSignal};
use agateroute_core::{Event, id};
use goldenscript::{Command, Context, Runner};
use simulation::{Simulation, document};

struct Script {
    sim: Simulation,
}

type Outcome = Result<String, Box<dyn Error>>;

impl Script {
    fn fleet(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let mut number = |key, default: u64| -> Result<u64, Box<dyn Error>> {
            Ok(args.take_key(key).map_or(Ok(default), str::parse)?)
        };
        let (instances, engines) = (number("instances", 1)?, number("engines", 1)?);
        let (memory, batch) = (number("memory", 10_000)?, number("batch", 4)?);
        let services = number("services", 0)?;
        let document = document(engines as usize, memory, batch as u32, services as usize);
        self.sim = Simulation::new(instances as usize, document);
        Ok(String::new())
    }

    fn arrive(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.sim.index_of(args.take_key("on").unwrap_or("a"));
        let organisation = args.take_key("organisation").unwrap_or("yew");
        let kind = args.take_key("kind").unwrap_or("draft");
        let most = args.take_key("most").unwrap_or("0").parse()?;
        let prompt = args.take_key("prompt").map(str::parse).transpose()?;
        let fingerprint = args.take_key("fingerprint").map(str::parse).transpose()?;
        let prefix = args.take_key("prefix").map(str::parse).transpose()?;
        let movable = args.take_key("movable").is_some();
        let hint = args.take_key("hint").unwrap_or("0").parse()?;
        while let Some(request) = args.next_pos() {
            let mut spec = self.sim.spec(request.parse()?, organisation, kind);
            spec.max_tokens = most;
            (spec.movable, spec.hint) = (movable, hint);
            spec.prompt = prompt.unwrap_or(spec.prompt);
            spec.fingerprint = fingerprint.unwrap_or(spec.fingerprint);
            spec.prefix = prefix.unwrap_or(0);
            spec.prefix_tokens = if spec.prefix == 0 { 0 } else { 300 };
            self.sim.arrive(at, spec);
        }
        Ok(self.sim.take_log())
    }

    fn end(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.sim.index_of(args.take_key("on").unwrap_or("a"));
        let tokens = args.take_key("tokens").unwrap_or("50").parse()?;
        let how = args.take_key("how").unwrap_or("whole").to_owned();
        while let Some(request) = args.next_pos() {
            let end = match how.as_str() {
                "whole" => End::Completed { tokens, took_ms: 10 },
                "refused" => End::NotStarted { signal: ServerSignal::Refused },
                "leaving" => End::NotStarted { signal: ServerSignal::Leaving },
                "lost" => End::Lost { tokens, signal: ServerSignal::None, retry: tokens == 0 },
                "crashed" => End::Lost { tokens, signal: ServerSignal::Crashed, retry: false },
                "cancelled" => End::Cancelled { tokens },
                other => return Err(format!("unknown end: {other:?}").into()),
            };
            self.sim.end(at, request.parse()?, end);
        }
        Ok(self.sim.take_log())
    }

    /// Ends the requests that have run longest.
    fn finish(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let tokens = args.take_key("tokens").unwrap_or("50").parse()?;
        let times: usize = args.next_pos().unwrap_or("1").parse()?;
        for _ in 0..times {
            let Some((at, request)) = self.sim.longest_running() else { break };
            self.sim.end(at, request, End::Completed { tokens, took_ms: 10 });
        }
        Ok(self.sim.take_log())
    }

    fn progress(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.sim.index_of(args.take_key("on").unwrap_or("a"));
        let tokens = args.take_key("tokens").unwrap_or("0").parse()?;
        while let Some(request) = args.next_pos() {
            self.sim.apply(at, Event::Progressed { request: request.parse()?, tokens });
        }
        Ok(self.sim.take_log())
    }

    /// Ends the last move of an instance.
    fn moved(&mut self, command: &Command, moved: bool) -> Outcome {
        let mut args = command.consume_args();
        let at = self.sim.index_of(args.take_key("on").unwrap_or("a"));
        let ended = self.sim.end_move(at, moved);
        ended.ok_or("the instance has no move in progress")?;
        Ok(self.sim.take_log())
    }

    fn report(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let mut number = |key: &str| -> Result<u64, Box<dyn Error>> {
            Ok(args.take_key(key).map_or(Ok(0), str::parse)?)
        };
        let report = LoadReport {
            used: number("used")?,
            running: 0,
            waiting: 0,
            preemptions: number("preemptions")?,
            leaving: number("leaving")? > 0,
            age_ms: number("age")?,
        };
        while let Some(name) = args.next_pos() {
            let server = id(name);
            for at in 0..self.sim.instances.len() {
                if self.sim.instances[at].state.controllers.contains(&server) {
                    let report = report.clone();
                    self.sim.apply(at, Event::Reported { server, report });
                }
            }
        }
        Ok(self.sim.take_log())
    }

    /// Delivers a cache update of an engine to all instances.
    fn cached(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let gap = args.take_key("gap").is_some();
        let server = id(args.take_key("on").unwrap_or("engine-0"));
        let gone = args.take_key("gone").map(str::parse).transpose()?;
        let mut added = Vec::new();
        while let Some(prefix) = args.next_pos() {
            added.push(prefix.parse()?);
        }
        let update = CacheUpdate { added, removed: gone.into_iter().collect(), gap };
        for at in 0..self.sim.instances.len() {
            self.sim.apply(at, Event::CacheChanged { server, update: update.clone() });
        }
        Ok(self.sim.take_log())
    }

    fn two_instances(&mut self, command: &Command) -> Result<(usize, usize), Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("the command needs two instances");
        let (a, b) = (next()?, next()?);
        Ok((self.sim.index_of(a), self.sim.index_of(b)))
    }

    fn claim(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.sim.index_of(args.take_key("on").unwrap_or("a"));
        let row = args.take_key("row").unwrap_or("row").to_owned();
        let attempt = args.take_key("attempt").unwrap_or("first").to_owned();
        let settle = args.take_key("settle").is_some();
        let request = args.next_pos().ok_or("the command needs a request")?.parse()?;
        self.sim.claim(at, request, &row, &attempt, settle);
        Ok(self.sim.take_log())
    }

    fn table(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let how = args.next_pos().unwrap_or("works").to_owned();
        let (effect, answered) = match how.as_str() {
            "works" => (true, true),
            "loses" => (true, false),
            "fails" => (false, false),
            other => return Err(format!("unknown table behaviour: {other:?}").into()),
        };
        let rows: Vec<&str> = self
            .sim
            .transactions
            .first()
            .map(|t| t.claims.iter().map(|c| c.row.as_str()).collect())
            .unwrap_or_default();
        let written = format!("transaction of {}\n", rows.join(", "));
        self.sim.transact(effect, answered);
        Ok(written + &self.sim.take_log())
    }

    fn controllers(&self) -> String {
        let mut out = String::new();
        for instance in self.sim.instances.iter().filter(|i| i.alive) {
            for server in &self.sim.document.servers {
                let Some(c) = instance.state.controllers.get(&id(&server.name)) else { continue };
                let state = match (c.closed, c.acting) {
                    (true, _) => " closed",
                    (false, true) => " acting",
                    _ => "",
                };
                out += &format!(
                    "{} of {}: {} waiting, {} running{state}\n",
                    instance.name,
                    server.name,
                    c.waiting.len(),
                    c.running.len()
                );
            }
        }
        out
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Outcome {
        let first = command.consume_args().next_pos().map(str::to_owned).unwrap_or_default();
        match command.name.as_str() {
            "fleet" => return self.fleet(command),
            "arrive" => return self.arrive(command),
            "end" => return self.end(command),
            "progress" => return self.progress(command),
            "report" => return self.report(command),
            "cached" => return self.cached(command),
            "claim" => return self.claim(command),
            "table" => return self.table(command),
            "controllers" => return Ok(self.controllers()),
            "leaving" => self.sim.server_leaving(&first),
            "moved" => return self.moved(command, true),
            "stays" => return self.moved(command, false),
            "pass" => self.sim.advance(first.parse()?),
            "kill" => self.sim.kill(self.sim.index_of(&first)),
            "replace" => self.sim.replace(self.sim.index_of(&first)),
            "leave" => self.sim.apply(self.sim.index_of(&first), Event::Leave),
            "finish" => return self.finish(command),
            "abandon" => self.sim.abandon(0, first.parse()?),
            "cut" => {
                let (a, b) = self.two_instances(command)?;
                self.sim.cut(a, b);
            }
            "heal" => {
                let (a, b) = self.two_instances(command)?;
                self.sim.heal(a, b);
            }
            other => return Err(format!("unknown command: {other:?}").into()),
        }
        Ok(self.sim.take_log())
    }
}

fn run(name: &str) {
    let path = format!("{}/tests/scenarios/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut script = Script { sim: Simulation::new(1, document(1, 10_000, 4, 0)) };
    goldenscript::run(&mut script, path).unwrap_or_else(|e| panic!("{name}: {e}"));
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )*
    };
}

scenarios! {
    cached_prefix
    crashing_request
    crowded_memory
    deferrable_floor
    greedy_organisation
    killed_owner
    leaving_server
    lost_claims
    moving_away
    replaced_instance
    spent_retries
    split_view
    urgent_first
    waiting_callers
}
