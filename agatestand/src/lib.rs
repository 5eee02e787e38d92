//! Stand-ins of the systems that agateroute works with, and the load and experiment tool.
//!
//! The stand-ins speak the same published protocols as the real systems and fail on demand. They
//! are used by tests, by the demonstration and by measurements.

pub mod baseline;
pub mod batch;
pub mod callers;
pub mod cases;
pub mod checker;
pub mod engine;
pub mod fault;
pub mod fault_plan;
pub mod instance;
pub mod lengths;
pub mod load;
pub mod platform;
pub mod process;
pub mod reply;
pub mod results;
pub mod serve;
pub mod service;
pub mod soak;
pub mod spec;
pub mod synthetic;
pub mod testbed;
pub mod text;
