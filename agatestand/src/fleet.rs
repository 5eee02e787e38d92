//! Runs several simulated systems in one process.

use std::time::Duration;

use agateroute_config::Document;
use agateroute_config::server::{Fencing, Server};
use agatestand::engine::{Engine, EngineOptions};
use agatestand::platform::{Platform, PlatformOptions};
use agatestand::service::{Service, ServiceOptions};
use agatestand::text::TokenFormat;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::args::EngineFlags;

/// Returns the engine configuration given by the flags.
pub fn engine_options(flags: &EngineFlags) -> EngineOptions {
    EngineOptions {
        memory: flags.memory,
        batch: flags.batch,
        step: Duration::from_micros(flags.step),
        step_each: Duration::from_micros(flags.step_each),
        lag: Duration::from_millis(flags.lag),
        median: flags.median,
        deviation: flags.deviation,
        seed: flags.seed,
        format: if flags.words { TokenFormat::Words } else { TokenFormat::Checkable },
        poison: flags.poison.clone(),
        fenced: flags.fenced_engines,
        ..EngineOptions::default()
    }
}

async fn bind(address: &str) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("bind {address}: {e}"))
}

/// Runs one engine per address. Returns only on an error.
pub async fn engines(flags: &EngineFlags, addresses: &[String]) -> Result<(), String> {
    let mut tasks = JoinSet::new();
    for address in addresses {
        let engine = Engine::new(engine_options(flags));
        tasks.spawn(engine.run(bind(address).await?, CancellationToken::new()));
    }
    tasks.join_all().await;
    Ok(())
}

/// Runs one plain service per address. Returns only on an error.
pub async fn services(options: &ServiceOptions, addresses: &[String]) -> Result<(), String> {
    let mut tasks = JoinSet::new();
    for address in addresses {
        let service = Service::new(options.clone());
        tasks.spawn(service.run(bind(address).await?, CancellationToken::new()));
    }
    tasks.join_all().await;
    Ok(())
}

/// Runs the platform. Returns only on an error.
pub async fn platform(options: PlatformOptions, address: &str) -> Result<(), String> {
    Platform::new(options).run(bind(address).await?, CancellationToken::new()).await;
    Ok(())
}

/// Runs all backend servers of a document, and the platform if an address is given. Returns only on
/// an error.
pub async fn fleet(
    flags: &EngineFlags,
    document: &Document,
    platform: Option<&str>,
) -> Result<(), String> {
    let mut tasks = JoinSet::new();
    if let Some(address) = platform {
        let platform = Platform::new(PlatformOptions::default());
        tasks.spawn(platform.run(bind(address).await?, CancellationToken::new()));
    }
    for server in &document.servers {
        let listener = bind(&server.address).await?;
        start_server(&mut tasks, flags, server, listener);
    }
    tasks.join_all().await;
    Ok(())
}

fn start_server(
    tasks: &mut JoinSet<()>,
    flags: &EngineFlags,
    server: &Server,
    listener: TcpListener,
) {
    let fenced = server.fencing == Fencing::Refuses;
    let cancel = CancellationToken::new();
    if let Some(engine) = &server.engine {
        let options = EngineOptions {
            memory: engine.memory_tokens,
            batch: engine.batch as usize,
            fenced,
            ..engine_options(flags)
        };
        tasks.spawn(Engine::new(options).run(listener, cancel));
    } else {
        let time = Duration::from_millis(flags.service_time);
        let options = ServiceOptions { time, workers: flags.service_workers, fenced };
        tasks.spawn(Service::new(options).run(listener, cancel));
    }
}
