//! What happened in a run, as the world saw it. Nothing here comes from the code under test but the gauges at the end.

use crate::script::{Class, Manner};
use std::time::Duration;

/// A request at a sidecar. Times are from the run's start.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// The sidecar.
    pub sidecar: u32,
    /// How the client goes about it.
    pub manner: Manner,
    /// When its client began, for those who owe no request.
    pub began: Duration,
    /// When its last byte was sent.
    pub sent: Option<Duration>,
    /// When its last byte was at the sidecar's machine; none: it never came.
    pub taken: Option<Duration>,
    /// Whether the sidecar has read it whole.
    pub read: bool,
    /// For how long its client waits from then.
    pub wait: Duration,
    /// When the client left by itself.
    pub left: Option<Duration>,
    /// When the connection ended with no whole answer.
    pub broke: Option<Duration>,
    /// The connection that it went on, and how much had been answered on that before.
    pub on: Option<(u64, u64)>,
    /// The answers that were written for it.
    pub answers: Vec<Answered>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// When the sidecar wrote its last byte.
    pub wrote: Duration,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// An attempt, as it is written to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: String,
    /// Who sent it.
    pub sidecar: u32,
    /// The endpoint.
    pub endpoint: u32,
    /// The connection.
    pub link: u64,
    /// When its first byte was written.
    pub first: Duration,
    /// When its last byte was written; none: it never was.
    pub whole: Option<Duration>,
    /// When the endpoint wrote that it has turned it away.
    pub turned_away: Option<Duration>,
}

/// A request that has run at an endpoint.
#[derive(Clone, Debug)]
pub struct Effect {
    /// The request.
    pub id: String,
    /// Where.
    pub endpoint: u32,
    /// When it began.
    pub at: Duration,
    /// The body of its answer.
    pub body: String,
    /// Whether that was or will be sent as a good answer.
    pub answers: bool,
}

/// What a sidecar was told of an endpoint.
#[derive(Clone, Debug)]
pub struct Told {
    /// The sidecar.
    pub sidecar: u32,
    /// The endpoint.
    pub endpoint: u32,
    /// When it had come.
    pub at: Duration,
    /// Whether new requests may go there.
    pub ready: bool,
}

/// A span of a sidecar's life.
#[derive(Clone, Debug)]
pub struct Life {
    /// The sidecar.
    pub sidecar: u32,
    /// When it was ready.
    pub from: Duration,
    /// When it ended, or was killed.
    pub until: Option<Duration>,
    /// When it was told to drain.
    pub told: Option<Duration>,
    /// Whether it was killed.
    pub killed: bool,
}

/// An answer as it was written to a client's connection.
#[derive(Clone, Debug)]
pub struct Written {
    /// The connection, and the offset of the answer's first byte.
    pub at: (u64, u64),
    /// The answer.
    pub answer: Answered,
}

/// All facts of a run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Requests.
    pub asked: Vec<Asked>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// What sidecars wrote to clients.
    pub written: Vec<Written>,
    /// What ran.
    pub effects: Vec<Effect>,
    /// What was told.
    pub told: Vec<Told>,
    /// What discovery knew: endpoint, when, ready.
    pub known: Vec<(u32, Duration, bool)>,
    /// When discovery answered nobody, or not with what it knew.
    pub dark: Vec<(Duration, Duration)>,
    /// When endpoints started, those that did so during the run.
    pub started: Vec<(u32, Duration)>,
    /// The sidecars' lives.
    pub lives: Vec<Life>,
    /// When sidecars had no processor.
    pub pauses: Vec<(u32, Duration, Duration)>,
    /// What was still open at the end, in words.
    pub open: Vec<String>,
    /// Sidecars that ended with a problem of their own.
    pub crashed: Vec<(u32, Duration, String)>,
}

impl Facts {
    /// Gives each request that keeps to the protocol the answers that were written behind it on its connection, and
    /// before those of the next one there.
    pub fn assign(&mut self) {
        let ons: Vec<(u64, u64)> = self.asked.iter().filter_map(|asked| asked.on).collect();
        for asked in &mut self.asked {
            let Some((link, from)) = asked.on else { continue };
            let next =
                ons.iter().filter(|(other, at)| *other == link && *at > from).map(|(_, at)| *at).min();
            let until = next.unwrap_or(u64::MAX);
            let here = self.written.iter().filter(|w| w.at.0 == link && w.at.1 >= from && w.at.1 < until);
            asked.answers = here.map(|written| written.answer.clone()).collect();
        }
    }
}
