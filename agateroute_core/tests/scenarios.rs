//! Scripted scenarios on the reducer; each script describes a failure and what comes of it.
//!
//! Commands: `fleet`, `arrive`, `flood`, `pass`, `progress`, `end`, `abandon`, `kill`, `replace`,
//! `finish`, `cut`, `heal`, `leave`, `report`, `cached`, `claim`, `table`, `desks`. See `docs/TESTING.md`.

mod world;

use std::error::Error;

use agateroute_core::event::{CacheNews, End, Report, Sign};
use agateroute_core::{Event, id};
use goldenscript::{Command, Context, Runner};
use world::{World, document};

struct Script {
    world: World,
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
        self.world = World::new(instances as usize, document);
        Ok(String::new())
    }

    fn arrive(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.world.at(args.take_key("on").unwrap_or("a"));
        let organisation = args.take_key("organisation").unwrap_or("yew");
        let kind = args.take_key("kind").unwrap_or("draft");
        let most = args.take_key("most").unwrap_or("0").parse()?;
        let prompt = args.take_key("prompt").map(str::parse).transpose()?;
        let fingerprint = args.take_key("fingerprint").map(str::parse).transpose()?;
        let prefix = args.take_key("prefix").map(str::parse).transpose()?;
        let movable = args.take_key("movable").is_some();
        let hint = args.take_key("hint").unwrap_or("0").parse()?;
        while let Some(request) = args.next_pos() {
            let mut ticket = self.world.ticket(request.parse()?, organisation, kind);
            ticket.most = most;
            (ticket.movable, ticket.hint) = (movable, hint);
            ticket.prompt = prompt.unwrap_or(ticket.prompt);
            ticket.fingerprint = fingerprint.unwrap_or(ticket.fingerprint);
            ticket.prefix = prefix.unwrap_or(0);
            ticket.shared = if ticket.prefix == 0 { 0 } else { 300 };
            self.world.arrive(at, ticket);
        }
        Ok(self.world.take_log())
    }

    fn end(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.world.at(args.take_key("on").unwrap_or("a"));
        let tokens = args.take_key("tokens").unwrap_or("50").parse()?;
        let how = args.take_key("how").unwrap_or("whole").to_owned();
        while let Some(request) = args.next_pos() {
            let end = match how.as_str() {
                "whole" => End::Whole { tokens, took_ms: 10 },
                "refused" => End::NotStarted { sign: Sign::Refused },
                "leaving" => End::NotStarted { sign: Sign::Leaving },
                "lost" => End::Lost { tokens, sign: Sign::Nothing, again: tokens == 0 },
                "crashed" => End::Lost { tokens, sign: Sign::Crashed, again: false },
                "cancelled" => End::Cancelled { tokens },
                other => return Err(format!("end {other:?} does not exist").into()),
            };
            self.world.end(at, request.parse()?, end);
        }
        Ok(self.world.take_log())
    }

    /// Ends the work that has run longest, several times.
    fn finish(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let tokens = args.take_key("tokens").unwrap_or("50").parse()?;
        let times: usize = args.next_pos().unwrap_or("1").parse()?;
        for _ in 0..times {
            let Some((at, request)) = self.world.oldest() else { break };
            self.world.end(at, request, End::Whole { tokens, took_ms: 10 });
        }
        Ok(self.world.take_log())
    }

    fn progress(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.world.at(args.take_key("on").unwrap_or("a"));
        let tokens = args.take_key("tokens").unwrap_or("0").parse()?;
        while let Some(request) = args.next_pos() {
            self.world.apply(at, Event::Progressed { request: request.parse()?, tokens });
        }
        Ok(self.world.take_log())
    }

    /// Ends the last move that an instance was told to make.
    fn moved(&mut self, command: &Command, moved: bool) -> Outcome {
        let mut args = command.consume_args();
        let at = self.world.at(args.take_key("on").unwrap_or("a"));
        let ended = self.world.end_move(at, moved);
        ended.ok_or("no move is being made")?;
        Ok(self.world.take_log())
    }

    fn report(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let mut number = |key: &str| -> Result<u64, Box<dyn Error>> {
            Ok(args.take_key(key).map_or(Ok(0), str::parse)?)
        };
        let report = Report {
            used: number("used")?,
            running: 0,
            waiting: 0,
            preemptions: number("preemptions")?,
            leaving: number("leaving")? > 0,
            age_ms: number("age")?,
        };
        while let Some(name) = args.next_pos() {
            let server = id(name);
            for at in 0..self.world.instances.len() {
                if self.world.instances[at].state.desks.contains(&server) {
                    let report = report.clone();
                    self.world.apply(at, Event::Reported { server, report });
                }
            }
        }
        Ok(self.world.take_log())
    }

    /// An engine tells which prefixes it has cached.
    fn cached(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let gap = args.take_key("gap").is_some();
        let server = id(args.take_key("on").unwrap_or("engine-0"));
        let gone = args.take_key("gone").map(str::parse).transpose()?;
        let mut added = Vec::new();
        while let Some(prefix) = args.next_pos() {
            added.push(prefix.parse()?);
        }
        let news = CacheNews { added, removed: gone.into_iter().collect(), gap };
        for at in 0..self.world.instances.len() {
            self.world.apply(at, Event::Cached { server, news: news.clone() });
        }
        Ok(self.world.take_log())
    }

    fn two(&mut self, command: &Command) -> Result<(usize, usize), Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("two instances are needed");
        let (a, b) = (next()?, next()?);
        Ok((self.world.at(a), self.world.at(b)))
    }

    fn claim(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.world.at(args.take_key("on").unwrap_or("a"));
        let row = args.take_key("row").unwrap_or("row").to_owned();
        let attempt = args.take_key("attempt").unwrap_or("first").to_owned();
        let settle = args.take_key("settle").is_some();
        let request = args.next_pos().ok_or("a request is needed")?.parse()?;
        self.world.claim(at, request, &row, &attempt, settle);
        Ok(self.world.take_log())
    }

    fn table(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let how = args.next_pos().unwrap_or("works").to_owned();
        let (effect, told) = match how.as_str() {
            "works" => (true, true),
            "loses" => (true, false),
            "fails" => (false, false),
            other => return Err(format!("table {other:?} does not exist").into()),
        };
        let rows: Vec<&str> = self
            .world
            .transactions
            .first()
            .map(|t| t.claims.iter().map(|c| c.row.as_str()).collect())
            .unwrap_or_default();
        let written = format!("transaction of {}\n", rows.join(", "));
        self.world.transact(effect, told);
        Ok(written + &self.world.take_log())
    }

    fn desks(&self) -> String {
        let mut out = String::new();
        for instance in self.world.instances.iter().filter(|i| i.alive) {
            for server in &self.world.document.servers {
                let Some(desk) = instance.state.desks.get(&id(&server.name)) else { continue };
                let state = match (desk.closed, desk.acting) {
                    (true, _) => " closed",
                    (false, true) => " acting",
                    _ => "",
                };
                out += &format!(
                    "{} of {}: {} waiting, {} running{state}\n",
                    instance.name,
                    server.name,
                    desk.waiting.len(),
                    desk.running.len()
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
            "desks" => return Ok(self.desks()),
            "leaving" => self.world.server_leaving(&first),
            "moved" => return self.moved(command, true),
            "stays" => return self.moved(command, false),
            "pass" => self.world.pass(first.parse()?),
            "kill" => self.world.kill(self.world.at(&first)),
            "replace" => self.world.replace(self.world.at(&first)),
            "leave" => self.world.apply(self.world.at(&first), Event::Leave),
            "finish" => return self.finish(command),
            "abandon" => self.world.abandon(0, first.parse()?),
            "cut" => {
                let (a, b) = self.two(command)?;
                self.world.cut(a, b);
            }
            "heal" => {
                let (a, b) = self.two(command)?;
                self.world.heal(a, b);
            }
            other => return Err(format!("command {other:?} does not exist").into()),
        }
        Ok(self.world.take_log())
    }
}

fn run(name: &str) {
    let path = format!("{}/tests/scenarios/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut script = Script { world: World::new(1, document(1, 10_000, 4, 0)) };
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
