//! Streams while servers of two software versions serve, on several instances. Guards against events of both in one
//! stream, for any order of beginnings, cuts, releases, deaths and resumed requests, and against records that are lost.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::catalog::model_id;
use agateroute_core::event::{End, RequestId, RequestSpec, ServerSignal};
use agateroute_core::membership::ListedInstance;
use agateroute_core::placement::UNKNOWN_VERSION;
use agateroute_core::streams::{Origin, Resumption, Streams};
use agateroute_core::{Event, Id, Table, id};
use bolero::{TypeGenerator, check};
use simulation::{Simulation, document};

const INSTANCES: usize = 3;
const ENGINES: usize = 4;
/// Long enough that the number of iterations ends each test, also on a slow machine.
const TEST_TIME: Duration = Duration::from_secs(600);

#[derive(Debug, TypeGenerator)]
enum Input {
    Begin { on: u8 },
    Progress { on: u8, pick: u8 },
    Cut { on: u8, pick: u8 },
    Leave { on: u8, pick: u8 },
    TakeUp { on: u8, stream: u8 },
    Release { engine: u8, renamed: bool },
    Restart { on: u8 },
    Part { a: u8, b: u8 },
    Heal,
    Elapse(u8),
}

/// The instances, and what callers and servers know of the streams.
struct Fleet {
    sim: Simulation,
    /// The stream of each request.
    streams: Table<RequestId, Id>,
    /// When each stream began, and the version that wrote its first event.
    began: Table<Id, (u64, String)>,
    next_id: u64,
    /// Whether the instances hear of the versions that they find stored.
    stored: bool,
}

impl Fleet {
    fn new(stored: bool) -> Fleet {
        let mut document = document(ENGINES, 100_000, 8, 0);
        for server in &mut document.servers[ENGINES / 2..] {
            server.version = "v2".to_owned();
        }
        let sim = Simulation::new(INSTANCES, document);
        let (streams, began) = (Table::default(), Table::default());
        let mut fleet = Fleet { sim, streams, began, next_id: 1, stored };
        for at in 0..INSTANCES {
            fleet.load(at);
        }
        fleet
    }

    fn load(&mut self, at: usize) {
        if self.stored {
            let versions = vec![id("v1"), id("v2")];
            let stored = vec![(model_id("prose"), versions)];
            self.sim.apply(at, Event::VersionsLoaded { stored });
        }
    }

    fn spec(&mut self, stream: Option<Id>) -> RequestSpec {
        let request = self.next_id;
        self.next_id += 1;
        let resumption = Resumption { targets: vec![model_id("prose")], list_fresh: true };
        let spec = RequestSpec {
            stream: stream.unwrap_or(request),
            resumes: stream.map(|_| resumption),
            deadline: self.sim.now + 10_000,
            ..self.sim.spec(request, "yew", "draft")
        };
        self.streams.insert(request, spec.stream);
        spec
    }

    fn begin(&mut self, at: usize) -> Id {
        let spec = self.spec(None);
        let stream = spec.stream;
        self.sim.arrive(at, spec);
        stream
    }

    /// Begins a stream whose caller leaves after its first event.
    fn begin_and_leave(&mut self, at: usize) -> Id {
        let stream = self.begin(at);
        self.sim.advance(100);
        self.progress(at, stream);
        self.sim.abandon(at, stream);
        stream
    }

    fn take_up(&mut self, at: usize, stream: Id) -> RequestId {
        let spec = self.spec(Some(stream));
        let request = spec.request;
        self.sim.arrive(at, spec);
        request
    }

    fn running(&self, at: usize, pick: u8) -> Option<RequestId> {
        let all: Vec<RequestId> = self.sim.instances[at].running.keys().copied().collect();
        (!all.is_empty()).then(|| all[usize::from(pick) % all.len()])
    }

    /// Has the server of a request write an event, and checks its version.
    fn progress(&mut self, at: usize, request: RequestId) {
        let Some(server) = self.sim.instances[at].running.get(&request).copied() else { return };
        let listed = self.sim.document.servers.iter().find(|s| id(&s.name) == server);
        let Some(version) = listed.map(|s| s.version.clone()) else { return };
        let stream = *self.streams.get(&request).expect("a stream");
        let now = self.sim.now;
        let (began_at, first) = self.began.entry(stream, || (now, version.clone())).clone();
        assert_eq!(first, version, "stream {stream} of {began_at} ms at {now} ms");
        self.sim.apply(at, Event::Progressed { request, tokens: 4 });
    }

    /// Cuts the stream of a request on its server.
    fn cut(&mut self, at: usize, request: RequestId) {
        let signal = ServerSignal::None;
        self.sim.end(at, request, End::Lost { tokens: 0, signal, retry: true });
    }

    /// Lists a server with the other version, under a new name unless it keeps its own. Its streams are cut.
    fn release(&mut self, engine: usize, renamed: bool) {
        let former = id(&self.sim.document.servers[engine].name);
        for at in 0..INSTANCES {
            let on_it = self.sim.instances[at].running.iter().filter(|(_, s)| **s == former);
            let on_it: Vec<RequestId> = on_it.map(|(request, _)| *request).collect();
            for request in on_it {
                self.cut(at, request);
            }
        }
        let mut document = (*self.sim.document).clone();
        let server = &mut document.servers[engine];
        server.version = if server.version == "v1" { "v2" } else { "v1" }.to_owned();
        if renamed {
            server.name = format!("engine-{engine}-{}", self.next_id);
            self.next_id += 1;
        }
        let document = Arc::new(document);
        self.sim.document = document.clone();
        for at in 0..INSTANCES {
            self.sim.apply(at, Event::Configured { document: document.clone() });
        }
    }

    fn step(&mut self, input: &Input) {
        let instance = |on: u8| usize::from(on) % INSTANCES;
        match *input {
            Input::Begin { on } => {
                self.begin(instance(on));
            }
            Input::Progress { on, pick } => {
                if let Some(request) = self.running(instance(on), pick) {
                    self.progress(instance(on), request);
                }
            }
            Input::Cut { on, pick } => {
                if let Some(request) = self.running(instance(on), pick) {
                    self.cut(instance(on), request);
                }
            }
            Input::Leave { on, pick } => {
                if let Some(request) = self.running(instance(on), pick) {
                    self.sim.abandon(instance(on), request);
                }
            }
            Input::TakeUp { on, stream } => {
                let begun: Vec<Id> = self.began.keys().copied().collect();
                if !begun.is_empty() {
                    self.take_up(instance(on), begun[usize::from(stream) % begun.len()]);
                }
            }
            Input::Release { engine, renamed } => {
                self.release(usize::from(engine) % ENGINES, renamed);
            }
            Input::Restart { on } => {
                self.sim.kill(instance(on));
                self.sim.replace(instance(on));
                self.load(instance(on));
            }
            Input::Part { a, b } => {
                if instance(a) != instance(b) {
                    self.sim.cut(instance(a), instance(b));
                }
            }
            Input::Heal => {
                for (a, b) in self.sim.cuts.clone() {
                    self.sim.heal(a, b);
                }
            }
            Input::Elapse(ticks) => self.sim.advance(u64::from(ticks) * 25),
        }
    }
}

/// Guards against a stream with events of two versions.
#[test]
fn one_version_for_each_stream() {
    check!()
        .with_test_time(TEST_TIME)
        .with_iterations(300)
        .with_max_len(2_000)
        .with_type::<(bool, Vec<Input>)>()
        .for_each(|(stored, inputs)| {
            let mut fleet = Fleet::new(*stored);
            for input in inputs {
                fleet.step(input);
            }
        });
}

/// Guards against streams that are given up while all instances hear each other and servers of their version serve.
#[test]
fn taken_up_at_each_instance() {
    let mut fleet = Fleet::new(false);
    for round in 0..20 {
        let at = round % INSTANCES;
        let stream = fleet.begin_and_leave(at);
        for other in 0..INSTANCES {
            let request = fleet.take_up(other, stream);
            fleet.sim.advance(100);
            assert!(fleet.sim.instances[other].running.contains(&request), "round {round}");
            fleet.progress(other, request);
            fleet.sim.abandon(other, request);
        }
    }
}

/// Guards against losing the beginnings of streams when all instances are stopped and started one after the other.
#[test]
fn handed_over_while_stopping() {
    let mut fleet = Fleet::new(true);
    let mut begun = Vec::new();
    for round in 0..20 {
        begun.push(fleet.begin_and_leave(round % INSTANCES));
    }
    for at in 0..INSTANCES {
        fleet.sim.apply(at, Event::Leave);
        fleet.sim.advance(50);
        fleet.sim.kill(at);
        fleet.sim.replace(at);
        fleet.load(at);
        fleet.sim.advance(50);
    }
    for (round, stream) in begun.into_iter().enumerate() {
        let at = round % INSTANCES;
        let request = fleet.take_up(at, stream);
        fleet.sim.advance(100);
        assert!(fleet.sim.instances[at].running.contains(&request), "round {round}");
        fleet.progress(at, request);
        fleet.sim.abandon(at, request);
    }
}

/// Guards against losing the beginnings of streams that peers could not be told of, because links were cut or they had
/// just started.
#[test]
fn told_after_link() {
    let mut fleet = Fleet::new(true);
    fleet.sim.cut(0, 1);
    fleet.sim.cut(0, 2);
    let mut begun = Vec::new();
    for _ in 0..10 {
        begun.push(fleet.begin_and_leave(0));
    }
    fleet.sim.heal(0, 1);
    fleet.sim.advance(100);
    fleet.sim.kill(2);
    fleet.sim.replace(2);
    fleet.load(2);
    fleet.sim.kill(0);
    fleet.sim.kill(1);
    for stream in begun {
        let request = fleet.take_up(2, stream);
        fleet.sim.advance(100);
        assert!(fleet.sim.instances[2].running.contains(&request), "stream {stream}");
        fleet.sim.abandon(2, request);
    }
}

/// Guards against refusing a stream because the instance has just started and its peers are not linked yet.
#[test]
fn asked_after_link() {
    let mut fleet = Fleet::new(true);
    let stream = fleet.begin_and_leave(0);
    for (a, b) in [(0, 1), (0, 2)] {
        fleet.sim.cut(a, b);
    }
    fleet.sim.kill(0);
    fleet.sim.replace(0);
    fleet.load(0);
    let names = fleet.sim.instances[1..].iter().map(|i| i.name.clone());
    let instances = names.map(|name| ListedInstance { name, leaving: false }).collect();
    fleet.sim.apply(0, Event::Listed { instances });
    let request = fleet.take_up(0, stream);
    fleet.sim.advance(100);
    fleet.sim.heal(0, 1);
    fleet.sim.advance(50);
    assert!(fleet.sim.instances[0].running.contains(&request));
}

/// Guards against a request that waits for replies that never come.
#[test]
fn unknown_stream_refused() {
    let mut fleet = Fleet::new(true);
    for (a, b) in [(0, 1), (0, 2)] {
        fleet.sim.cut(a, b);
    }
    let request = fleet.take_up(0, 4_711);
    fleet.sim.advance(400);
    assert_eq!(fleet.sim.instances[0].refused, [request]);
    fleet.sim.heal(0, 1);
    fleet.sim.heal(0, 2);
    let request = fleet.take_up(0, 4_711);
    fleet.sim.advance(25);
    assert_eq!(fleet.sim.instances[0].refused[1..], [request]);
}

/// Guards against a list of one version being taken for a proof that no other began the stream.
#[test]
fn only_version_needs_proof() {
    let mut sim = Simulation::new(1, document(2, 100_000, 8, 0));
    let spec = |sim: &Simulation, request, list_fresh| RequestSpec {
        stream: 4_711,
        resumes: Some(Resumption { targets: vec![model_id("prose")], list_fresh }),
        ..sim.spec(request, "yew", "draft")
    };
    let started = |sim: &mut Simulation, request, list_fresh| {
        let spec = spec(sim, request, list_fresh);
        sim.arrive(0, spec);
        sim.advance(25);
        sim.instances[0].running.contains(&request)
    };
    assert!(!started(&mut sim, 1, true), "the time before the start is not known");
    let stored = vec![(model_id("prose"), vec![id("v0"), id("v1")])];
    sim.apply(0, Event::VersionsLoaded { stored });
    assert!(!started(&mut sim, 2, true), "v0 served until lately");
    sim.advance(61_000);
    assert!(started(&mut sim, 3, true), "v0 is too long ago");
    assert!(!started(&mut sim, 4, false), "the list is old");
}

/// Guards against records that grow without bound, and against one of two contradicting records being believed.
#[test]
fn records_bounded() {
    let mut streams = Streams::default();
    let origin = Origin { target: 1, version: 2 };
    for stream in 1..=70_000 {
        streams.record(stream, origin, 1_000 + stream);
    }
    assert_eq!(streams.origin(1, 0), None, "the one that expires first is forgotten");
    assert_eq!(streams.origin(70_000, 0), Some(origin));
    assert_eq!(streams.origin(70_000, 71_000), None, "expired");
    streams.record(70_000, Origin { version: 3, ..origin }, 1_000);
    let version = streams.origin(70_000, 0).map(|o| o.version);
    assert_eq!(version, Some(UNKNOWN_VERSION));
}
