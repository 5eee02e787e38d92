//! The inputs of the reducer: requests, messages of peers, load reports, results of I/O and time.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_proto::peers::Claim;
use agateroute_proto::peers::message::Body;

use crate::cold::Terms;
use crate::evacuation::{Point, Update};
use crate::id::{Id, Millis};
use crate::ledger::TransactionOutcome;
use crate::membership::{ListedInstance, Peer, PeerStatus};
use crate::notice::{Named, Notice};
use crate::streams::Resumption;

/// An identifier of a request, unique for one run of one instance.
pub type RequestId = u64;

record! {
    /// Describes a request on arrival.
    pub struct RequestSpec {
        /// The identifier, unique for one run of this instance.
        pub request: RequestId,
        /// The organisation that sent the request.
        pub organisation: Id,
        /// The model or plain service that is to answer.
        pub target: Id,
        /// The declared request kind, by which output lengths are estimated.
        pub kind: Id,
        /// The rank, 0 for the most urgent.
        pub rank: u8,
        /// The length of the prompt in tokens; 0 for plain calls.
        pub prompt: u32,
        /// The caller's limit on the output, in tokens; 0 if there is none.
        pub max_tokens: u32,
        /// The hash of the prompt's cacheable prefix; 0 if there is none.
        pub prefix: u64,
        /// The length of that prefix in tokens.
        pub prefix_tokens: u32,
        /// The hash of organisation, kind and body; the same for a repeated request.
        pub fingerprint: u64,
        /// When the request is refused if it still has no permit.
        pub deadline: Millis,
        /// When the caller no longer waits for the answer; 0 if that is not known.
        pub answer_by: Millis,
        /// The maximum number of backend servers that may begin the request; 0 applies the document's.
        pub max_attempts: u32,
        /// The latency target of the route, in milliseconds; 0 if there is none.
        pub target_ms: u32,
        /// When the latency target of the route is missed; not used if `target_ms` is 0.
        pub target_deadline: Millis,
        /// The caller's estimate of the output length, in tokens; 0 if there is none.
        pub hint: u32,
        /// Whether the generation can continue on another backend server with a copy of its memory.
        pub movable: bool,
        /// The parts of the prompt that other requests may share, in order.
        pub parts: Arc<[Id]>,
        /// The lengths of these parts, in tokens.
        pub part_tokens: Arc<[u32]>,
        /// The longest pause between events for which the route is on time, in milliseconds; 0 if there is none.
        pub gap_ms: u32,
        /// The only software version that may serve the request, that of the server which began its stream; `None` before
        /// the first event.
        pub version: Option<Id>,
        /// The hash of the request id of the caller's attempt that brought the first event of the stream; 0 if it can not be
        /// resumed.
        pub stream: Id,
        /// How the caller resumes a stream; `None` if it begins one.
        pub resumes: Option<Resumption>,
        /// On which way the request came.
        pub via: Via,
    }

    /// A load report of a backend server.
    pub struct LoadReport {
        /// The memory in use, in tokens; for plain servers the number of calls in progress.
        pub used: u64,
        /// The number of requests that run.
        pub running: u32,
        /// The number of requests that wait on the server itself.
        pub waiting: u32,
        /// The number of preemptions since the server started.
        pub preemptions: u64,
        /// Whether the server is shutting down and takes no new work.
        pub leaving: bool,
        /// The age of the report when it was read, in milliseconds.
        pub age_ms: u64,
    }

    /// Changes of a model engine's prefix cache.
    pub struct CacheUpdate {
        /// Prefixes added to the cache.
        pub added: Vec<u64>,
        /// Prefixes evicted from the cache.
        pub removed: Vec<u64>,
        /// Whether earlier changes were missed, so that all known prefixes have to be dropped.
        pub gap: bool,
    }

    /// How an attempt on a backend server ended.
    pub enum End {
        /// The server delivered the complete answer.
        Completed {
            /// The number of tokens generated.
            tokens: u32,
            /// How long the server took, in milliseconds.
            took_ms: u32,
        },
        /// The server was not reached, or refused the request before running any of it.
        NotStarted {
            /// What the attempt observed of the server.
            signal: ServerSignal,
        },
        /// The attempt failed after the server may have begun.
        Lost {
            /// The number of tokens generated.
            tokens: u32,
            /// What the attempt observed of the server.
            signal: ServerSignal,
            /// Whether the request may be started again on another server.
            retry: bool,
        },
        /// The caller disconnected, or this instance cancelled the request.
        Cancelled {
            /// The number of tokens generated.
            tokens: u32,
        },
    }

    /// An input of the reducer.
    pub enum Event {
        /// A new version of the document was activated.
        Configured {
            /// The document, already checked.
            document: Arc<Document>,
        },
        /// The platform's list of instances was read.
        Listed {
            /// The listed instances; the list may lag behind.
            instances: Vec<ListedInstance>,
        },
        /// A stream to a peer was set up.
        Linked {
            /// The peer with its start time, which reveals a restart.
            peer: Peer,
        },
        /// A peer sent a batch of messages, which may be empty.
        Heartbeat {
            /// The peer that sent the batch.
            peer: Id,
            /// The status that the peer reports of itself.
            status: PeerStatus,
        },
        /// A linked peer has declared that it answers probes.
        AnswersProbes {
            /// The peer.
            peer: Id,
        },
        /// The table service became reachable or unreachable for this instance.
        TableReachable {
            /// Whether the table service answers.
            reachable: bool,
        },
        /// The stream to a peer ended.
        Unlinked {
            /// The peer at the other end.
            peer: Id,
        },
        /// A peer sent a message.
        Received {
            /// The peer that sent the message.
            peer: Id,
            /// The content of the message.
            body: Body,
        },
        /// A caller sent a request.
        Arrived(RequestSpec),
        /// The caller of a request disconnected.
        Abandoned {
            /// The identifier of the request.
            request: RequestId,
        },
        /// The answer to a request began.
        AnswerBegan {
            /// The identifier of the request.
            request: RequestId,
        },
        /// The head of an answer says how long work takes on its server at the moment.
        Slowness {
            /// The identifier of the request.
            request: RequestId,
            /// The backend server that answered.
            server: Id,
            /// The time in percent of the usual one.
            figure: Named<u32>,
        },
        /// A server's part of a stream ended. Sent before the end of the attempt.
        Paused {
            /// The identifier of the request.
            request: RequestId,
            /// The longest pause between events that came from the server, in milliseconds.
            gap_ms: u32,
        },
        /// A running generation produced tokens.
        Progressed {
            /// The identifier of the request.
            request: RequestId,
            /// The total number of tokens generated so far.
            tokens: u32,
        },
        /// The attempt of a request that may be repeated is late: whether another one may replace it has to be decided.
        RetryAsked {
            /// The identifier of the request.
            request: RequestId,
        },
        /// An attempt on a backend server ended.
        Ended {
            /// The identifier of the request.
            request: RequestId,
            /// How the attempt ended.
            end: End,
        },
        /// The memory of a migrating generation was copied completely.
        MoveCopied {
            /// The identifier of the running request.
            request: RequestId,
        },
        /// A live migration of a generation ended.
        MoveEnded {
            /// The identifier of the running request.
            request: RequestId,
            /// The request id under which the destination granted the permit.
            permit: RequestId,
            /// Whether the generation continues at the destination.
            moved: bool,
        },
        /// A new connection to a server was made.
        Connected {
            /// The backend server.
            server: Id,
        },
        /// A new connection to a server was refused, or not made in time.
        ConnectFailed {
            /// The backend server.
            server: Id,
        },
        /// A request that was handed to a peer ended there.
        ForwardEnded {
            /// The identifier of the request.
            request: RequestId,
            /// How it ended.
            end: ForwardEnd,
        },
        /// An answer of a server says something of its needs, or nothing where something is known.
        Noticed {
            /// The identifier of the request.
            request: RequestId,
            /// The backend server that answered.
            server: Id,
            /// What the answer says.
            notice: Notice,
        },
        /// A request goes to its server again, under the permit with which it has run there.
        SentAgain {
            /// The backend server.
            server: Id,
        },
        /// A load report was read.
        Reported {
            /// The backend server that sent the report.
            server: Id,
            /// The reported load.
            report: LoadReport,
        },
        /// Cache events of a model engine were read.
        CacheChanged {
            /// The model engine.
            server: Id,
            /// The prefixes that were added and removed.
            update: CacheUpdate,
        },
        /// A load report could not be read.
        ReportFailed {
            /// The backend server that was polled.
            server: Id,
            /// Whether the connection was refused.
            refused: bool,
        },
        /// The platform announced that a backend server is leaving.
        ServerLeaving {
            /// The leaving backend server.
            server: Id,
        },
        /// The terms for cold servers were read, of each model and service that has some.
        ColdTermsRead {
            /// The models and services with their terms.
            terms: Vec<(Id, Terms)>,
        },
        /// The entries of servers were read, which say how long they stay cold.
        ColdRead {
            /// The servers with this time in milliseconds; 0 if they are not cold.
            servers: Vec<(Id, Millis)>,
        },
        /// Rows about evacuated availability zones were read from the table service or fetched from a peer.
        EvacuationRead {
            /// The point of the table service up to which they are complete.
            point: Point,
            /// Whether they show everything that was written again since the service came back from a copy.
            settled: bool,
            /// What was read.
            update: Update,
        },
        /// A suspect request was read from the table service.
        SuspectLoaded {
            /// The fingerprint of the request.
            fingerprint: u64,
            /// The number of backend servers that crashed under it.
            crashes: u32,
        },
        /// A blocked part of prompts was read from the table service.
        PartBlockLoaded {
            /// The identifier of the part.
            part: Id,
            /// How long it stays blocked, in milliseconds.
            left_ms: Millis,
        },
        /// The software versions that have served each model lately were read from the table service.
        VersionsLoaded {
            /// The models with their versions.
            stored: Vec<(Id, Vec<Id>)>,
        },
        /// The versions of a model could not be stored.
        VersionsNotStored {
            /// The model.
            target: Id,
        },
        /// The table service came back from a copy and may have lost rows that this instance wrote.
        TableRestored,
        /// A call that must run at most once needs its claim written or settled.
        ClaimSubmitted(Claim),
        /// A transaction of claims ended.
        Transacted {
            /// The shard whose claims it wrote.
            shard: u64,
            /// Whether the rows were written, and otherwise why not.
            outcome: TransactionOutcome,
        },
        /// This instance received the order to stop.
        Leave,
        /// The timer ticked: deadlines, retries and silent peers are checked.
        Tick,
    }
}

value! {
    /// On which way a request came.
    pub enum Via {
        /// From a caller of the product's own interface.
        Caller,
        /// From a caller of a route. A peer may serve it.
        Route,
        /// From a peer, which has counted it for the retry budget.
        Peer,
    }

    /// How a request ended that was handed to a peer.
    pub enum ForwardEnd {
        /// It has its final answer.
        Done,
        /// The peer has not run it, and another one may.
        NotRun,
        /// The answer is lost, and the request may be repeated.
        Lost,
    }
}

value! {
    /// What an attempt observed of a backend server.
    pub enum ServerSignal {
        /// Nothing that concerns the server's health.
        None,
        /// The server refused the connection.
        Refused,
        /// The server accepts connections, and a new one broke after the request was sent and before the first byte of the
        /// response.
        Reset,
        /// The server reported that it is leaving.
        Leaving,
        /// The server crashed while it ran the request.
        Crashed,
        /// Nothing was sent: the availability zone of the server was evacuated after the permit was granted.
        Evacuated,
    }
}
