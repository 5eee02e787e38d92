//! Simulations of the systems that agateroute depends on, and tools for loads and experiments.
//!
//! The simulated systems use the same published protocols as the real ones and fail on demand. They
//! serve tests, the demonstration and measurements.

pub mod baseline;
pub mod batch;
pub mod bodies;
pub mod callers;
pub mod cases;
pub mod checker;
pub mod engine;
pub mod evacuations;
pub mod fault;
pub mod fault_plan;
pub mod instance;
pub mod lengths;
pub mod load;
pub mod needs;
pub mod planned;
pub mod platform;
pub mod process;
pub mod reply;
pub mod results;
pub mod resumed;
pub mod serve;
pub mod service;
pub mod soak;
pub mod spec;
pub mod stops;
pub mod synthetic;
pub mod testbed;
pub mod text;
pub mod zones;
