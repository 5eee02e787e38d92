//! The effects that the reducer asks for.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Claim, ClaimOutcome, TallyRow};

use crate::event::RequestId;
use crate::id::Id;

value! {
    /// Why a request is refused. Nothing of it has run.
    pub enum Refusal {
        /// The target can not be met.
        NoRoom,
        /// The organisation asks for more than it is owed.
        OverShare,
        /// No backend server takes new work for the target.
        NoServer,
        /// The request crashed the backend servers that ran it.
        Quarantined,
        /// Attempts failed and the retries are spent.
        Failed,
    }
}

record! {
    /// Something for the daemon to do.
    pub enum Effect {
        /// Start a request on a backend server.
        Start {
            /// The request.
            request: RequestId,
            /// The backend server.
            server: Id,
        },
        /// Move a running generation to another backend server.
        Move {
            /// The request.
            request: RequestId,
            /// The request under which the destination is permitted.
            permit: RequestId,
            /// The destination.
            server: Id,
        },
        /// Refuse a request as not run.
        Refuse {
            /// The request.
            request: RequestId,
            /// Why.
            refusal: Refusal,
            /// When asking again makes sense, in milliseconds.
            retry_ms: u32,
        },
        /// Send a message to a peer.
        Send {
            /// The peer.
            peer: Id,
            /// The message.
            body: Body,
        },
        /// Write claims in one transaction of the table service.
        Transact {
            /// The shard.
            shard: u64,
            /// The claims, one for each row.
            claims: Vec<Claim>,
        },
        /// A claim that this instance wanted is decided.
        Claimed {
            /// The request.
            request: RequestId,
            /// What came of it.
            outcome: ClaimOutcome,
            /// The record that stands in the row where the claim was lost.
            record: String,
        },
        /// Hold a row of tallies for a peer that can not write it.
        HoldTally(TallyRow),
        /// Keep what is known of a suspect request in the table service.
        StoreSuspect {
            /// The fingerprint of the request.
            fingerprint: u64,
            /// The crashes so far; 0 clears the suspicion.
            crashes: u32,
        },
    }
}
