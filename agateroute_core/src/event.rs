//! The events that the reducer takes.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_proto::peers::Claim;
use agateroute_proto::peers::message::Body;

use crate::id::{Id, Millis};
use crate::ledger::TransactionOutcome;
use crate::membership::{ListedInstance, Peer, PeerStatus};

/// An identifier of a request, unique for one run of one instance.
pub type RequestId = u64;

record! {
    /// What is known of a request on arrival.
    pub struct RequestSpec {
        /// The request.
        pub request: RequestId,
        /// The organisation that asks.
        pub organisation: Id,
        /// The model or plain service.
        pub target: Id,
        /// The request kind.
        pub kind: Id,
        /// The rank, 0 for the most urgent.
        pub rank: u8,
        /// The prompt, in tokens; 0 for plain calls.
        pub prompt: u32,
        /// The most tokens that the caller wants, 0 where it did not say.
        pub max_tokens: u32,
        /// A hash of the start of the prompt, 0 where there is none.
        pub prefix: u64,
        /// The tokens of that start.
        pub prefix_tokens: u32,
        /// A hash of organisation, kind and body, which tells a repeated request.
        pub fingerprint: u64,
        /// When the target can no longer be met.
        pub deadline: Millis,
        /// The most backend servers that may begin the request; 0 leaves it to the document.
        pub max_attempts: u32,
        /// The target of its route, in milliseconds; 0 where there is none.
        pub target_ms: u32,
        /// When that target is missed.
        pub target_deadline: Millis,
        /// The caller's guess at the length of the output, in tokens; 0 where there is none.
        pub hint: u32,
        /// Whether the generation can go on at another backend server with a copy of its memory.
        pub movable: bool,
    }

    /// A load report of a backend server.
    pub struct Report {
        /// The memory in use, in tokens; for plain servers the calls in progress.
        pub used: u64,
        /// The requests that run.
        pub running: u32,
        /// The requests that wait on the server.
        pub waiting: u32,
        /// The preemptions since the server started.
        pub preemptions: u64,
        /// Whether the server is leaving.
        pub leaving: bool,
        /// How old the figures are, in milliseconds.
        pub age_ms: u64,
    }

    /// What a model engine tells of its prefix cache.
    pub struct CacheUpdate {
        /// Prefixes that are cached now.
        pub added: Vec<u64>,
        /// Prefixes that are no longer cached.
        pub removed: Vec<u64>,
        /// Whether events are missing before these, so that nothing older can be relied on.
        pub gap: bool,
    }

    /// How work on a backend server ended.
    pub enum End {
        /// The answer was whole.
        Completed {
            /// The tokens generated.
            tokens: u32,
            /// How long the server worked on it, in milliseconds.
            took_ms: u32,
        },
        /// The server was not reached, or refused before it ran anything.
        NotStarted {
            /// What the attempt told of the server.
            signal: ServerSignal,
        },
        /// The work was lost after the server had begun.
        Lost {
            /// The tokens generated.
            tokens: u32,
            /// What the attempt told of the server.
            signal: ServerSignal,
            /// Whether it may start anew on another server.
            retry: bool,
        },
        /// The caller went away, or the instance stopped the work.
        Cancelled {
            /// The tokens generated.
            tokens: u32,
        },
    }

    /// Everything that the reducer reacts to.
    pub enum Event {
        /// A version of the document came into force.
        Configured {
            /// The document.
            document: Arc<Document>,
        },
        /// The platform's list of instances was read.
        Listed {
            /// The instances in the list.
            instances: Vec<ListedInstance>,
        },
        /// A stream to a peer was set up.
        Linked {
            /// The peer.
            peer: Peer,
        },
        /// Something was heard from a peer.
        Heartbeat {
            /// The peer.
            peer: Id,
            /// What it says of itself.
            status: PeerStatus,
        },
        /// The table service answers this instance, or does not any more.
        TableReachable {
            /// Whether it answers.
            reachable: bool,
        },
        /// The stream to a peer ended.
        Unlinked {
            /// The peer.
            peer: Id,
        },
        /// A peer sent a message.
        Received {
            /// The peer.
            peer: Id,
            /// The message.
            body: Body,
        },
        /// A caller sent a request.
        Arrived(RequestSpec),
        /// The caller of a request went away.
        Abandoned {
            /// The request.
            request: RequestId,
        },
        /// A running generation went on.
        Progressed {
            /// The request.
            request: RequestId,
            /// The tokens generated so far.
            tokens: u32,
        },
        /// Work on a backend server ended.
        Ended {
            /// The request.
            request: RequestId,
            /// How.
            end: End,
        },
        /// All of the memory of a generation that moves was copied.
        MoveCopied {
            /// The request.
            request: RequestId,
        },
        /// A move of a generation to another backend server came to an end.
        MoveEnded {
            /// The request.
            request: RequestId,
            /// The request under which the destination was permitted.
            permit: RequestId,
            /// Whether it goes on at the destination.
            moved: bool,
        },
        /// A load report was read.
        Reported {
            /// The backend server.
            server: Id,
            /// The report.
            report: Report,
        },
        /// Cache events of a model engine were read.
        CacheChanged {
            /// The backend server.
            server: Id,
            /// What they tell.
            update: CacheUpdate,
        },
        /// A load report could not be read.
        ReportFailed {
            /// The backend server.
            server: Id,
            /// Whether the connection was refused.
            refused: bool,
        },
        /// The platform says that a backend server is leaving.
        ServerLeaving {
            /// The backend server.
            server: Id,
        },
        /// The table service knows a suspect request.
        SuspectLoaded {
            /// The fingerprint.
            fingerprint: u64,
            /// The crashes so far.
            crashes: u32,
        },
        /// A call that may not be repeated needs its claim written or settled.
        ClaimSubmitted(Claim),
        /// A transaction of claims came to an end.
        Transacted {
            /// The shard.
            shard: u64,
            /// What came of it.
            outcome: TransactionOutcome,
        },
        /// The instance was told to stop.
        Leave,
        /// Time passed.
        Tick,
    }
}

value! {
    /// What an attempt told of a backend server.
    pub enum ServerSignal {
        /// Nothing about the server.
        None,
        /// The server refuses connections.
        Refused,
        /// The server says that it is leaving.
        Leaving,
        /// The server crashed under the request.
        Crashed,
    }
}
