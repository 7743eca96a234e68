//! Who is named silent: nobody who beats, and whoever crashed.

use super::agents::{CONTACT, View};
use super::{Breach, Rule};
use crate::fleet::facts::{Asked, Harm, Told};
use std::time::Duration;

/// An endpoint whose heartbeats were acknowledged with no greater gap is not silent.
const GAP: Duration = Duration::from_millis(700);
/// For so long before it is named.
const BEATING: Duration = Duration::from_millis(3_000);
/// From an endpoint's last heartbeat until agents in touch name it: three heartbeats are missed, and that is told on.
const NAMED: Duration = Duration::from_millis(3_000);
/// What is taken back so soon was never heeded: a process that goes on after a stand-still sorts its links out first.
const TAKEN_BACK: Duration = Duration::from_millis(100);
/// A link on which nothing comes any more is given up by then: 1.4 s, looked at every 0.4 s.
const LINK_ENDS: Duration = Duration::from_millis(1_850);
/// How often it is looked at whether an agent is in touch.
const STEP: Duration = Duration::from_millis(250);

impl View<'_> {
    /// The first word that names an endpoint silent though it beats.
    pub(super) fn named_silent(&self) -> Option<Breach> {
        for (number, word) in self.words.iter().enumerate() {
            let Told::Suspects(silent) = &word.told else { continue };
            if !self.in_touch(word.at) && !self.heeds_contact(word.at) {
                continue;
            }
            let beating = silent.iter().find(|endpoint| {
                self.beats(**endpoint, word.at) && !self.is_taken_back(number, **endpoint)
            });
            if let Some(endpoint) = beating {
                let what = format!("{} takes e{endpoint} for silent", self.name());
                return Some(Breach::new(Rule::NotSilent, word.at, what));
            }
        }
        None
    }

    /// Whether nothing was wrong for a while but that members were cut off, no more of them than the tolerance bears: then
    /// nobody may be named for what such a member has missed, whatever befell the agent some time ago. Where it is losing
    /// links right now, the word of a single member may be the last that it heeds.
    fn heeds_contact(&self, at: Duration) -> bool {
        let before = at.saturating_sub(CONTACT);
        let agent = self.facts.harms.iter().filter(|harm| harm.agent == Some(self.agent));
        let mut recent = agent.filter(|harm| (at.saturating_sub(LINK_ENDS)..=at).contains(&harm.from));
        if recent.next().is_some() {
            return false;
        }
        let harms = self.facts.harms.iter().filter(|harm| harm.from <= at && harm.until >= before);
        let cores: Vec<&Harm> = harms.filter(|harm| harm.core.is_some()).collect();
        cores.iter().all(|harm| harm.isolates) && cores.len() as u32 <= self.script.tolerance
    }

    /// Whether the agent names others, and no more that endpoint, right after this word.
    fn is_taken_back(&self, number: usize, endpoint: usize) -> bool {
        let at = self.words[number].at;
        let later = self.words[number + 1..].iter().take_while(|word| word.at <= at + TAKEN_BACK);
        later
            .filter_map(|word| match &word.told {
                Told::Suspects(silent) => Some(silent),
                _ => None,
            })
            .any(|silent| !silent.contains(&endpoint))
    }

    fn is_cut_off(&self, core: u32, at: Duration) -> bool {
        let mut cuts = self.facts.harms.iter().filter(|harm| harm.isolates && harm.core == Some(core));
        cuts.any(|cut| (cut.from..cut.until).contains(&at))
    }

    /// Whether an endpoint's heartbeats were acknowledged without a gap until then.
    fn beats(&self, endpoint: usize, at: Duration) -> bool {
        let Some(mut last) = at.checked_sub(BEATING) else { return false };
        for call in self.facts.calls.iter().filter(|call| call.asked == Asked::Heartbeat(endpoint)) {
            let acknowledged = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            let Some(ended) = call.ended.filter(|ended| acknowledged && *ended <= at) else { continue };
            if self.is_cut_off(call.core, ended) {
                continue; // it acts as in contact for a moment more, and nobody else hears of that beat
            }
            if ended < last {
                continue;
            }
            if ended - last > GAP {
                return false;
            }
            last = ended;
        }
        at - last <= GAP
    }

    /// An endpoint that crashed and is not named, though others beat all the time.
    pub(super) fn crashed_unnamed(&self) -> Option<Breach> {
        self.facts.silent_since.iter().find_map(|(endpoint, since)| {
            let due = self.named_by(*endpoint, *since)?;
            let told =
                self.words.iter().rev().filter(|word| word.at <= due).find_map(|word| match &word.told {
                    Told::Suspects(silent) => Some(silent.contains(endpoint)),
                    _ => None,
                });
            let what = format!("{} does not take e{endpoint} for silent, which crashed", self.name());
            (told != Some(true)).then(|| Breach::new(Rule::SilentNamed, due, what))
        })
    }

    /// The first moment by which an agent that knows an endpoint, and is in touch, must name it.
    fn named_by(&self, endpoint: usize, since: Duration) -> Option<Duration> {
        let steps = (0..).map(|step| since + NAMED + STEP * step);
        steps.take_while(|at| *at <= self.facts.end).find(|at| {
            let life = self.life_at(*at);
            let ready = Told::Endpoint(endpoint, 0);
            let knows = |from| {
                self.words
                    .iter()
                    .any(|word| word.life == life && word.told == ready && word.at + from <= *at)
            };
            let endpoints = 0..self.script.endpoints.len();
            let others = endpoints.filter(|other| *other != endpoint);
            let mut beating = others.filter(|other| self.beats(*other, *at));
            knows(NAMED) && self.in_touch(*at) && self.heeds_contact(*at) && beating.next().is_some()
        })
    }
}
