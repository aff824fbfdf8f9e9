//! The project's processes, started with the commands of the deploy file, and their settings.

use std::env;
use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Addresses of a small deployment: hosts differ by their loopback address, and ports are the same on
/// all of them.
#[derive(Clone, Copy)]
pub struct Network {
    a: u8,
    b: u8,
    /// First of the ports; 40 are used.
    base: u16,
}

impl Network {
    /// Finds loopback addresses and ports that nobody uses.
    pub fn free() -> io::Result<Self> {
        let id = std::process::id();
        for attempt in 0..200_u32 {
            let mix = id
                .wrapping_mul(2_654_435_761)
                .wrapping_add(attempt.wrapping_mul(40_503));
            let network = Self {
                a: (mix >> 8) as u8 % 200 + 20,
                b: (mix >> 16) as u8 % 200 + 20,
                base: 20_000 + (mix >> 4) as u16 % 200 * 50,
            };
            let hosts = [1, 2, 3, 4, 10, 11, 20, 21, 22, 23, 90, 91, 92];
            let is_free = hosts.iter().all(|host| {
                (0..40).all(|port| {
                    let addr = network.addr(*host, port);
                    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
                })
            });
            if is_free {
                return Ok(network);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, host)
    }

    pub fn addr(self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), self.base + port).into()
    }

    /// Address that callers connect to.
    pub fn front(self, host: u8) -> SocketAddr {
        self.addr(host, 5)
    }

    /// Address of the status check of an entry.
    pub fn ready(self, host: u8) -> SocketAddr {
        self.addr(host, 2)
    }

    /// Address of an engine or a service.
    pub fn app(self, host: u8) -> SocketAddr {
        self.addr(host, 1)
    }

    /// Address of the store.
    pub fn store(self) -> SocketAddr {
        self.addr(90, 7)
    }

    /// Address of the origin of the weights; a later one after it has moved.
    pub fn origin(self, moves: u8) -> SocketAddr {
        self.addr(91 + moves, 6)
    }

    fn port_range(self) -> (u16, u16) {
        (self.base + 20, self.base + 35)
    }
}

/// A process of the project; dropping it kills it.
pub struct Process {
    child: Child,
    role: &'static str,
    host: u8,
}

/// Starts processes from the root of the repository.
#[derive(Clone)]
pub struct Deployment {
    pub network: Network,
    folder: PathBuf,
    memory_mb: u32,
}

impl Deployment {
    /// `folder` receives settings and logs.
    pub fn new(network: Network, folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            network,
            folder: folder.into(),
            memory_mb: 260,
        })
    }

    /// Starts an entry on a host.
    pub fn entry(&self, host: u8) -> io::Result<Process> {
        let listen = format!(
            r#"{{"front":"{}","readyAddr":"{}"}}"#,
            self.network.front(host),
            self.network.ready(host)
        );
        self.start("entry", host, &listen, "null", self.memory_mb, 1_000.0)
    }

    /// Starts the agent beside an engine.
    pub fn agent(&self, host: u8) -> io::Result<Process> {
        let app = format!("\"{}\"", self.network.app(host));
        self.start("agent", host, "{}", &app, 128, 7.3)
    }

    fn start(
        &self,
        role: &'static str,
        host: u8,
        listen: &str,
        app: &str,
        memory_mb: u32,
        link_mbps: f64,
    ) -> io::Result<Process> {
        let network = self.network;
        let (ip, (first, last)) = (network.ip(host), network.port_range());
        let serves = if role == "entry" { "front" } else { "side" };
        let settings = format!(
            r#"{{"nodeName":"{serves}-zone-a-{host}","role":"{role}","machineClass":"{serves}","serves":["{serves}"],"ip":"{ip}","zone":"zone-a","region":"north","zones":{{"zone-a":"north"}},"listen":{listen},"portRange":[{first},{last}],"seedNodes":[],"bootstrap":true,"countsAsLoss":false,"limits":{{"cpuShare":0.3,"cores":1,"memoryMb":{memory_mb},"maxFds":4100,"linkMbps":{link_mbps:.1},"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,"bounds":{{"contactMs":3000,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"backMs":250,"maxSkewMs":5000,"budgetRatio":0.2,"budgetWindowS":10,"budgetSlack":100,"coldExcess":1.5,"coldSlack":5,"evacuateMs":5000,"recoverS":12,"passMs":120,"retryAfterS":0,"version_ms":8000,"version_all_ms":0}},"app":{app},"platform":{{"address":"{}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            network.store()
        );
        let path = self.folder.join(format!("{role}-{host}.json"));
        fs::write(&path, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{host}.log")))?;
        let child = Command::new("target/release/limpetloom")
            .args(["platform", role])
            .env("LIMPETLOOM_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        note_process(child.id())?;
        Ok(Process { child, role, host })
    }
}

/// Notes a process for the script, which ends it when this program is ended.
fn note_process(id: u32) -> io::Result<()> {
    let Some(path) = env::var_os("REVIEW_PIDS") else {
        return Ok(());
    };
    let mut file = fs::File::options().append(true).open(path)?;
    writeln!(file, "{id}")
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Name for the record.
    pub fn name(&self) -> String {
        format!("{} on host {}", self.role, self.host)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Memory in use, in MB.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes / 1_000)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
