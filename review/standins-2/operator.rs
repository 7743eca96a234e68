//! The operator, as the pages describe it: it goes on to another sidecar after a failure, a 5xx or a second of silence.

use crate::fleet::Record;
use crate::http::{Answer, Client};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub struct Operator {
    controls: Vec<String>,
    next: usize,
    record: Record,
}

impl Operator {
    pub fn new(controls: Vec<String>, record: Record) -> Self {
        Operator { controls, next: 0, record }
    }

    fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<Answer> {
        let at = self.controls[self.next % self.controls.len()].clone();
        let answer = Client::new(&at, Duration::from_secs(1)).call(method, path, headers, body);
        let said = match &answer {
            Ok(answer) => format!("{} ({} bytes)", answer.status, answer.body.len()),
            Err(problem) => format!("no answer: {problem}"),
        };
        self.record.note(&format!("operator {method} {path} at {at}: {said}"));
        answer.ok()
    }

    /// Repeats a call until an answer is clear or the time is over.
    fn until(
        &mut self,
        limit: Duration,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Answer> {
        let end = Instant::now() + limit;
        let mut pause = Duration::from_millis(100);
        while Instant::now() < end {
            match self.call(method, path, headers, body) {
                Some(answer) if answer.status < 500 && answer.status != 408 && answer.status != 429 => {
                    return Some(answer);
                }
                _ => self.next += 1,
            }
            sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_millis(500));
        }
        None
    }

    /// Sends a configuration; whether it was acknowledged in time.
    pub fn replace(&mut self, base: u64, body: &str, limit: Duration) -> bool {
        let base = base.to_string();
        let headers = [("X-Base-Version", base.as_str()), ("Content-Type", "application/json")];
        let answer = self.until(limit, "POST", "/runtrack/config/replace", &headers, body.as_bytes());
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Reads the configuration back.
    pub fn read(&mut self, limit: Duration) -> Option<String> {
        let answer = self.until(limit, "GET", "/runtrack/config/read", &[], b"")?;
        (answer.status == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
    }
}
