//! The agateroute daemon as a library, so that tests can reach its parts.
//!
//! [`run::run`] starts an instance. Handlers of requests are in [`front`], [`generation`], [`call`] and
//! [`claims`]; [`daemon`] connects them to the reducer. `docs/DESIGN.md` gives the reasons for the design.

pub mod answer_body;
pub mod args;
pub mod attempt;
pub mod auth;
pub mod body;
pub mod call;
pub mod claims;
pub mod client;
pub mod clock;
pub mod collect;
pub mod compose;
pub mod daemon;
pub mod declared;
pub mod discovery;
pub mod engine;
pub mod error;
pub mod final_answer;
pub mod fleet;
pub mod follow;
pub mod forward;
pub mod front;
pub mod generation;
pub mod head_limit;
pub mod instances;
pub mod jobs;
pub mod log;
pub mod memory_copy;
pub mod ops;
pub mod pages;
pub mod peers;
pub mod permit;
pub mod plain;
pub mod platform;
pub mod poll;
pub mod readers;
pub mod report;
pub mod request_spec;
pub mod request_tracker;
pub mod restore;
pub mod route_instance;
pub mod route_listener;
pub mod run;
pub mod serve;
pub mod snapshot;
pub mod source;
pub mod stopping;
pub mod stream;
pub mod stream_relay;
pub mod supervisor;
pub mod tallies;
pub mod telemetry;
pub mod upstream;
pub mod versions;
