//! The command line of the daemon.

use std::path::PathBuf;

use agateroute_config::Settings;
use bpaf::Bpaf;

/// The agateroute daemon: serves callers from the declared backend servers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Args {
    /// The settings of this instance
    #[bpaf(short, long, argument("FILE"), optional)]
    pub settings: Option<PathBuf>,
    /// Take the settings from the platform and serve its routes
    #[bpaf(long, switch)]
    pub platform: bool,
    /// Use this name instead of the one in the settings
    #[bpaf(long, argument("NAME"))]
    pub instance: Option<String>,
    /// Use this address for callers instead of the one in the settings
    #[bpaf(long, argument("IP:PORT"))]
    pub listen: Option<String>,
    /// Use this address for other instances instead of the one in the settings
    #[bpaf(long, argument("IP:PORT"))]
    pub peer: Option<String>,
    /// Use this address for metrics and status instead of the one in the settings
    #[bpaf(long, argument("IP:PORT"))]
    pub ops: Option<String>,
    /// Log this level instead of the one in the settings
    #[bpaf(long, argument("LEVEL"))]
    pub level: Option<String>,
}

impl Args {
    /// Overrides settings by the flags that were given.
    pub fn override_settings(&self, settings: &mut Settings) {
        let override_with = |flag: &Option<String>, setting: &mut String| {
            if let Some(value) = flag {
                setting.clone_from(value);
            }
        };
        override_with(&self.instance, &mut settings.instance);
        override_with(&self.listen, &mut settings.listen);
        override_with(&self.peer, &mut settings.peer);
        override_with(&self.ops, &mut settings.ops);
        override_with(&self.level, &mut settings.telemetry.level);
    }
}
