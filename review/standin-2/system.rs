//! Starts the project's own program as separate processes, with the command of the deploy file.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Wire, wire};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;
const FRONT: u16 = 8740;
const READY: u16 = 8749;
const PEERS: u16 = 7200;
const METRICS: u16 = 9464;
pub const STORE: u16 = 8742;

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: String,
    folder: PathBuf,
    child: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Loopback addresses, one for each machine, on which the ports of the system are free.
fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let seed = std::process::id();
    for attempt in 0..200u32 {
        let mixed = (seed + attempt).wrapping_mul(2_654_435_761);
        let (a, b) = ((mixed >> 8) as u8 % 200 + 20, (mixed >> 16) as u8);
        let all: Vec<Ipv4Addr> = (1..=count as u8).map(|c| Ipv4Addr::new(127, a, b, c)).collect();
        let ports = [FRONT, READY, PEERS, PEERS + 1, METRICS, STORE];
        let is_free = |ip: &Ipv4Addr| ports.iter().all(|p| TcpListener::bind((*ip, *p)).is_ok());
        if all.iter().all(is_free) {
            return all;
        }
    }
    Vec::new()
}

/// Prepares machines. Their settings lie in a temporary folder.
pub fn machines(count: usize, zones: &[&str], folder: &Path) -> Vec<Machine> {
    let all = free_addresses(count).into_iter().enumerate();
    let machine = |(i, ip): (usize, Ipv4Addr)| Machine {
        name: format!("front-{}-{}", zones[i % zones.len()], i + 1),
        ip,
        zone: zones[i % zones.len()].to_owned(),
        folder: folder.to_owned(),
        child: None,
    };
    all.map(machine).collect()
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    pub fn store(&self) -> SocketAddr {
        (self.ip, STORE).into()
    }

    /// Starts the process.
    pub fn start(&mut self, zones: &[&str]) {
        let path = self.folder.join(format!("{}.toml", self.name));
        fs::write(&path, self.settings(zones)).expect("the settings are written");
        let log = File::create(self.folder.join(format!("{}.log", self.name))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("target/release/agaterouted");
        command.args(["--platform", "--ops", &format!("{}:{METRICS}", self.ip)]);
        command.env_clear().env(wire("settings_file"), &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // The process ends with this one, also if this one is killed.
        let end_with_parent = || {
            // SAFETY: this call takes plain numbers and is allowed between fork and exec.
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
            Ok(())
        };
        // SAFETY: the closure allocates nothing and takes no lock.
        unsafe { command.pre_exec(end_with_parent) };
        self.child = Some(command.spawn().expect("the program starts"));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = (self.ip, READY).into();
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut asked = Wire::new(stream);
        let path = wire("ready");
        let text = format!("GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        asked.write(text.as_bytes()).is_ok() && asked.message().is_ok_and(|m| m.status() == 200)
    }

    /// Waits until the process is ready.
    pub fn wait_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn settings(&self, zones: &[&str]) -> String {
        let all: String = zones.iter().map(|z| format!("{z} = \"tas-south\"\n")).collect();
        include_str!("node.toml")
            .replace("@name@", &self.name)
            .replace("@ip@", &self.ip.to_string())
            .replace("@zone@", &self.zone)
            .replace("@zones@", &all)
    }
}
