//! The outputs of the reducer: the I/O that the daemon has to do.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Claim, ClaimOutcome, TallyRow};

use crate::copies::Fate;
use crate::event::RequestId;
use crate::id::{Id, Millis};

value! {
    /// Why a request is refused. None of it has run.
    pub enum Refusal {
        /// The servers are too busy to meet the latency target.
        NoRoom,
        /// The organisation exceeds its share while the servers are busy.
        OverShare,
        /// No backend server of the model or service takes new work.
        NoServer,
        /// As many backend servers as configured crashed under the request, or under requests with a part of its
        /// prompt, so it may not run any more.
        Quarantined,
        /// Attempts failed, and no further one is allowed.
        Failed,
        /// It is not known which software version began the stream that the caller resumes.
        StreamUnknown,
    }
}

record! {
    /// An action that the daemon carries out; results come back as events.
    pub enum Effect {
        /// Start a request on a backend server.
        Start {
            /// The identifier of the request, which now holds a permit.
            request: RequestId,
            /// The backend server that granted it.
            server: Id,
        },
        /// Migrate a running generation to another backend server.
        Move {
            /// The identifier of the running request.
            request: RequestId,
            /// The request id under which the destination granted the permit.
            permit: RequestId,
            /// The destination server.
            server: Id,
        },
        /// Something became of a generation on a leaving server, or of a copy of it. Log and count it.
        CopyReported {
            /// The identifier of the request.
            request: RequestId,
            /// The leaving server.
            server: Id,
            /// What became of it.
            fate: Fate,
        },
        /// Hand a request to a peer, since this instance reaches no server.
        Forward {
            /// The identifier of the request.
            request: RequestId,
            /// The peer that serves it.
            peer: Id,
        },
        /// Ask a peer for a batch, to see whether it is alive.
        ProbePeer {
            /// The silent peer.
            peer: Id,
        },
        /// Close the stream to a peer that is taken for dead, so that it is dialed again.
        CloseLink {
            /// The peer that did not answer.
            peer: Id,
        },
        /// Connect to servers to see whether they are reached.
        Probe {
            /// The backend servers.
            servers: Vec<Id>,
        },
        /// This instance reaches no server, or does again. Log it.
        ReachChanged {
            /// Whether it reaches none.
            cut: bool,
        },
        /// Refuse a request as not run.
        Refuse {
            /// The identifier of the request.
            request: RequestId,
            /// The reason, which decides the answer's status.
            refusal: Refusal,
            /// The retry delay suggested to the caller, in milliseconds.
            retry_ms: u32,
        },
        /// A request is refused because no server has room for it in time. Log it; `Refuse` follows.
        Shed {
            /// The identifier of the request.
            request: RequestId,
            /// The reason.
            refusal: Refusal,
            /// When room is expected for it, in milliseconds from now.
            delay_ms: u32,
            /// Whether its caller has time to come back then.
            returns: bool,
            /// The number of servers whose owners were asked.
            asked: u32,
            /// The number of servers that were not asked because of remembered denials.
            remembered: u32,
        },
        /// A request that this instance refused before has come back and got a permit. Log it.
        ReturnPermitted {
            /// The identifier of the request.
            request: RequestId,
            /// How long after the stated time it got the permit, in milliseconds.
            late_ms: Millis,
        },
        /// Send a message to a peer.
        Send {
            /// The receiving peer.
            peer: Id,
            /// The content of the message.
            body: Body,
        },
        /// Write claims in one transaction of the table service.
        Transact {
            /// The shard to which the claims belong.
            shard: u64,
            /// The claims, at most one for each row.
            claims: Vec<Claim>,
        },
        /// A claim that this instance submitted was decided.
        Claimed {
            /// The request for which the row was claimed.
            request: RequestId,
            /// Whether the claim was won or lost, or could not be decided.
            outcome: ClaimOutcome,
            /// The record already in the row if the claim was lost, otherwise empty.
            record: String,
        },
        /// Hold a tally row of a peer that can not write it to the table service.
        HoldTally(TallyRow),
        /// Store the crash count of a suspect request in the table service.
        StoreSuspect {
            /// The fingerprint of the request.
            fingerprint: u64,
            /// The number of crashes so far; 0 clears the request.
            crashes: u32,
        },
        /// The software versions that have served a model lately changed. Log them.
        VersionsChanged {
            /// The model.
            target: Id,
            /// The versions, sorted.
            versions: Vec<Id>,
            /// Whether this instance has to store them in the table service.
            decided: bool,
        },
        /// A server gets no permits for a while because of what a request showed. Log it.
        ServerClosed {
            /// The backend server.
            server: Id,
            /// Whether the server is leaving; otherwise it refused a connection.
            leaving: bool,
        },
        /// A server that this instance owns is closed, since it lost several requests in a row, or is open again. Log it.
        ServerFailing {
            /// The backend server.
            server: Id,
            /// For how long it is closed, in milliseconds; 0 if it is open again.
            closed_ms: Millis,
        },
        /// The limit of a server that this instance owns was named, changed or ended. Log it.
        LimitChanged {
            /// The backend server.
            server: Id,
            /// The limit in thousandths of a request a second; `None` if it has ended.
            limit: Option<u32>,
        },
        /// A server that this instance owns became cold, or it was shown that it no longer is. Log it.
        ColdChanged {
            /// The backend server.
            server: Id,
            /// How long it stays cold, in milliseconds; 0 if it no longer is.
            left_ms: Millis,
        },
        /// The set of evacuated availability zones changed. Log it.
        EvacuationChanged {
            /// The names of the evacuated zones, sorted.
            zones: Vec<String>,
            /// The requests that waited for permits there and were moved to other servers.
            moved: u32,
            /// Whether a peer's message brought it.
            from_peer: bool,
        },
        /// A part of prompts is blocked, or no longer. Log it.
        PartBlocked {
            /// The identifier of the part.
            part: Id,
            /// How long it stays blocked, in milliseconds; 0 if it is no longer.
            left_ms: Millis,
            /// Whether this instance decided it, and so has to store it in the table service.
            decided: bool,
        },
    }
}
