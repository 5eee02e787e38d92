//! The decision logic of agateroute, without I/O.
//!
//! [`State::apply`](state::State::apply) is the single reducer over all events: it changes the state
//! and returns effects as data. It reads no clock, opens no socket and takes random numbers from a
//! seeded generator in the state, so that scenario tests, property tests and the daemon run the same
//! code. See `docs/DESIGN.md` for the reasons.

#[macro_use]
mod derives;

pub mod admission;
pub mod announced;
pub mod backoff;
pub mod brittle;
pub mod catalog;
pub mod cold;
pub mod concurrency;
pub mod controller;
pub mod copies;
pub mod cost;
pub mod crashing_parts;
pub mod denials;
pub mod departures;
pub mod distribution;
pub mod effect;
pub mod entry;
pub mod estimate;
pub mod evacuation;
pub mod event;
pub mod fairness;
pub mod foreign_load;
pub mod forward;
pub mod freshness;
pub mod health;
pub mod id;
pub mod kept;
pub mod lease;
pub mod leaving;
pub mod ledger;
pub mod limits;
pub mod liveness;
pub mod losses;
pub mod membership;
pub mod memory;
pub mod migration;
pub mod newest;
pub mod notice;
pub mod ownership;
pub mod pace;
pub mod pauses;
pub mod permits;
pub mod placement;
pub mod prefix;
pub mod presence;
pub mod promises;
pub mod quotes;
pub mod reach;
pub mod readers;
pub mod recency;
pub mod refusals;
pub mod relay;
pub mod rendezvous;
pub mod requests;
pub mod restore;
pub mod retry;
pub mod roster;
pub mod routes;
pub mod server_list;
pub mod shedding;
pub mod sse;
pub mod state;
pub mod streams;
pub mod suspect;
pub mod table;
pub mod tally;
pub mod tempo;
pub mod versions;

pub use effect::Effect;
pub use event::Event;
pub use id::{Id, id};
pub use state::State;
pub use table::Table;
