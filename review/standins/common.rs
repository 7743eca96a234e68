//! What the scripts of this folder share: a record, processes that are ended with it, and calls over HTTP/1.1.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds, as the record has them.
pub fn ms(duration: Duration) -> String {
    format!("{:.3} s", duration.as_secs_f64())
}

/// What was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Writes a line to the record and to standard output.
    pub fn note(&self, text: &str) {
        let line = format!("{:>10} {text}\n", ms(self.started.elapsed()));
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the processes that it holds.
#[derive(Default)]
pub struct Processes(HashMap<String, Child>);

impl Processes {
    /// Starts a program of the deploy file.
    pub fn start(&mut self, name: &str, program: &str, settings: &Path, log: &Path) -> Result<(), String> {
        let log = File::create(log).map_err(|error| error.to_string())?;
        let child = Command::new(format!("target/release/{program}"))
            .env("RUNTRACK_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.0.insert(name.to_owned(), child);
        Ok(())
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.0[name].id().to_string()).status();
    }

    /// Whether a process ends by itself within this time.
    pub fn ends_within(&mut self, name: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if let Ok(Some(_)) = self.0.get_mut(name).unwrap().try_wait() {
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    /// Whether a process runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        matches!(self.0.get_mut(name).map(Child::try_wait), Some(Ok(None)))
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.0.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One HTTP/1.1 message: its first line, its headers in lower case, and its body.
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Reads a message whose body has a length.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match header.trim().split_once(':') {
            Some((name, value)) => headers.insert(name.to_ascii_lowercase(), value.trim().to_owned()),
            None => break,
        };
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Message { line: line.trim().to_owned(), headers, body })
}

/// Sends a request on a new connection; the status and the body of the answer.
pub fn call(to: SocketAddr, head: &str, body: &str, wait: Duration) -> Result<(u16, String), String> {
    let attempt = || -> std::io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&to, wait)?;
        stream.set_read_timeout(Some(wait))?;
        stream.set_nodelay(true)?;
        let length = body.len();
        stream.write_all(format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}").as_bytes())?;
        read_message(&mut BufReader::new(stream))
    };
    let answer = attempt().map_err(|error| error.to_string())?;
    let status = answer.line.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or("no status")?, String::from_utf8_lossy(&answer.body).into_owned()))
}

/// Waits until something is so; an error if it takes too long.
pub fn wait_for(what: &str, time: Duration, mut met: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + time;
    while !met() {
        if Instant::now() > until {
            return Err(format!("{what}: not within {}", ms(time)));
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// A folder of its own, a network of loopback addresses, and a first port of which twenty are free there.
pub struct Place {
    /// Where the settings, the disks and the logs are.
    pub folder: PathBuf,
    /// The second byte of the addresses.
    pub network: u8,
    /// The first port.
    pub port: u16,
}

impl Place {
    fn new() -> Result<Self, String> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network = 20 + (now.subsec_nanos() / 1000 % 200) as u8;
        for step in 0..100 {
            let port = 20_000 + ((now.subsec_nanos() / 1000) as u16 % 300) * 30 + step * 20;
            let is_free = |ip: [u8; 4]| {
                (port..port + 20).all(|port| TcpListener::bind((std::net::Ipv4Addr::from(ip), port)).is_ok())
            };
            if is_free([127, 0, 0, 1]) && is_free([127, network, 1, 1]) && is_free([127, network, 2, 1]) {
                return Ok(Place { folder, network, port });
            }
        }
        Err("no free ports".to_owned())
    }

    /// The address of a machine of a group.
    pub fn ip(&self, group: u8, number: u8) -> String {
        format!("127.{}.{group}.{number}", self.network)
    }

    /// A port of such a machine.
    pub fn address(&self, group: u8, number: u8, offset: u16) -> SocketAddr {
        format!("{}:{}", self.ip(group, number), self.port + offset).parse().unwrap()
    }

    /// Writes a settings file as the platform does.
    pub fn write_settings(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("{name}.conf"));
        let new = self.folder.join(format!("{name}.conf.new"));
        fs::write(&new, text).and_then(|()| fs::rename(&new, &path)).map_err(|error| error.to_string())?;
        Ok(path)
    }

    /// The settings that all processes of the deployments here have in common, but for the tolerance.
    pub fn common_settings(&self) -> String {
        format!(
            "portRange={},{}\nlimits.cpuShare=0.6\nlimits.cores=1\nlimits.memoryMb=256\nlimits.fdLimit=4096\n\
             limits.linkMbps=1000.0\ndiscovery=self_register\nentry=vip\nbeatPeriodMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream\n\
             bounds.seedLagS=3\nbounds.reuseDelayS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
             bounds.settleS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.convergeMs=2000\n\
             bounds.revertSlackMs=250\nbounds.stretchMaxMs=5000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.retrySlack=56\nbounds.recoveryS=12\nbounds.pass_ms=120\nbounds.again_s=0\n",
            self.port,
            self.port + 15
        )
    }
}

/// Plays a case, whose function says whether the rules held, and gives the exit code of the script.
pub fn run(play: impl FnOnce(&Arc<Record>, &Place, bool) -> Result<bool, String>) -> ExitCode {
    let Some(path) = std::env::args().nth(1) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(file) = File::create(path) else { return ExitCode::from(2) };
    let record = Arc::new(Record { file: Mutex::new(file), started: Instant::now() });
    record.note(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let place = match Place::new() {
        Ok(place) => place,
        Err(problem) => {
            record.note(&format!("could not run: {problem}"));
            return ExitCode::from(2);
        }
    };
    let played = play(&record, &place, trouble);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&place.folder);
    }
    match played {
        Ok(true) => {
            record.note("the rules held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("a rule was broken");
            ExitCode::from(1)
        }
        Err(problem) => {
            record.note(&format!("could not run: {problem}"));
            ExitCode::from(2)
        }
    }
}
