//! Entry VMs: the project's daemon as a separate process, started as the deploy file says.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use hemlock_wire::http1::Conn;

const PROGRAM: &str = "target/release/hemlock-node";

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    pub log: PathBuf,
    child: Child,
}

/// Returns an address of the VM whose port is free.
fn free(ip: &str) -> SocketAddr {
    loop {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts the program of the deploy file, which appends to the log.
fn start(settings: &Path, log: &Path) -> std::io::Result<Child> {
    Command::new(PROGRAM)
        .env("HEMLOCKLB_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(File::options().create(true).append(true).open(log)?)
        .stderr(Stdio::null())
        .spawn()
}

impl Vm {
    /// Starts the daemon with settings as the template of the deploy file gives them.
    pub fn spawn(number: usize, store: SocketAddr, dir: &Path) -> std::io::Result<Self> {
        let name = format!("front-riverside-{number}");
        let ip = format!("127.0.77.{number}");
        let (front, ready, directory, peer, metrics) =
            (free(&ip), free(&ip), free(&ip), free(&ip), free(&ip));
        let settings = dir.join(format!("{name}.yaml"));
        let text = format!(
            "node: \"{name}\"\nzone: \"riverside\"\nlisten:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  \
             directory: \"{directory}\"\n  peer: \"{peer}\"\n  metrics: \"{metrics}\"\nstore:\n  \
             address: \"{store}\"\n  read_rate: 2000\n  lease_ms: 1000\nbounds:\n  drain_ms: 2000\n  \
             grace_s: 8\n  stall_ms: 5000\n  advice_s: 5\n  repeat_ratio: 0.2\n  repeat_extra: 103\n  \
             repeat_s: 10\n  warm_up_excess: \n  warm_up_slack: \ncores: 0.25\nmemory_mb: 260\n"
        );
        std::fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let child = start(&settings, &log)?;
        Ok(Self {
            name,
            front,
            ready,
            settings,
            log,
            child,
        })
    }

    /// Starts the daemon again once the process has ended.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child.wait()?;
        self.child = start(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends the signal called `name` to the process.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let mut conn = Conn::connect(self.ready, Duration::from_secs(1))
                .await
                .ok()?;
            conn.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                .await
                .ok()?;
            Some(conn.read_response_head(8 << 10).await.ok()?.status)
        };
        matches!(
            tokio::time::timeout(Duration::from_secs(1), ask).await,
            Ok(Some(200))
        )
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
