//! Themes about contact: a member that is cut off or stands still, and what calls it, leaves there or starts beside it.

use super::READY_MS;
use super::failure_budget::FailureBudget;
use crate::draw::Draws;
use crate::fleet::script::{
    CutScope, Departure, Direction, EndpointPlan, Fault, Request, RequestKind, Script, SendMode,
};

/// Situations that there are here.
const SCENARIOS: u32 = 11;
/// Moments of a world that are drawn alike.
const MAX_REPETITIONS: u32 = 3;

/// What is drawn around one weak moment.
struct Scenario<'a> {
    draws: &'a mut Draws,
    script: &'a mut Script,
    budget: &'a mut FailureBudget,
    /// The member that loses contact.
    core: u32,
}

/// Draws a theme, once or a few times in a row.
pub fn draw(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget) {
    let core = draws.of(0, script.cores - 1);
    let kind = draws.of(0, SCENARIOS - 1);
    let mut at = READY_MS + draws.of(800, 3_500);
    let repetitions = draws.of(1, MAX_REPETITIONS);
    let mut scenario = Scenario { draws, script, budget, core };
    for _ in 0..repetitions {
        let until = match kind {
            0 => scenario.calls_to_cut_off_member(at),
            1 | 7 => scenario.departures_at_cut_off(at),
            2 | 8 => scenario.freeze_around_cut_off(at),
            3 | 4 | 10 => scenario.agent_start_during_cut_off(at),
            5 => scenario.endpoint_crash_during_cut_off(at),
            _ => scenario.agent_freeze_during_endpoint_pause(at),
        };
        at = until + scenario.draws.of(1_000, 6_000);
    }
}

impl Scenario<'_> {
    /// Between two moments, both included, whichever is first.
    fn between(&mut self, one: u32, other: u32) -> u32 {
        self.draws.of(one.min(other), one.max(other))
    }

    /// Takes a fault of the member, if it may be; when it is over.
    fn add_fault(&mut self, fault: Fault) -> u32 {
        let (at, lasts) = fault.span();
        if self.budget.reserve(self.core, at, at + lasts) {
            self.script.faults.push(fault);
        }
        at + lasts
    }

    fn add_cut(&mut self, from: CutScope, at: u32, lasts: u32) -> u32 {
        let way = [Direction::Both, Direction::Out, Direction::In][self.draws.of(0, 2) as usize];
        let resets = self.draws.one_in(8);
        self.add_fault(Fault::Cut { core: self.core, way, from, resets, at, lasts })
    }

    fn cut_scope(&mut self) -> CutScope {
        [CutScope::All, CutScope::All, CutScope::Cores, CutScope::Near][self.draws.of(0, 3) as usize]
    }

    /// Endpoints that call a member since before a moment.
    fn add_endpoints(&mut self, member: u32, count: u32, before: u32) {
        for _ in 0..count {
            let at = self.draws.of(READY_MS, before.saturating_sub(300).max(READY_MS));
            self.script.endpoints.push(EndpointPlan::steady(member, at));
        }
    }

    /// The newest endpoint leaves.
    fn set_departure(&mut self, at: u32, how: Departure) {
        if let Some(endpoint) = self.script.endpoints.last_mut() {
            endpoint.leaves = Some((at, how));
        }
    }

    /// Operators ask a member, some for a change.
    fn add_requests(&mut self, member: u32, count: u32, from: u32, until: u32) {
        for _ in 0..count {
            let at = self.between(from, until);
            let what = match self.draws.of(0, 2) {
                0 => RequestKind::Read,
                _ => RequestKind::Replace { step: 1, manner: SendMode::Patient },
            };
            self.script.requests.push(Request { at, operator: self.draws.of(0, 3), member, what });
        }
    }

    fn other_core(&mut self) -> u32 {
        (self.core + self.draws.of(1, self.script.cores - 1)) % self.script.cores
    }

    /// It is killed, loses its disk or power, or stands still.
    fn add_loss(&mut self, at: u32) {
        let (core, lasts) = (self.core, self.draws.of(100, 2_000));
        let fault = match self.draws.of(0, 3) {
            0 => Fault::Kill { core, at, lasts },
            1 => Fault::Wipe { core, at, lasts },
            2 => Fault::Power { core, at, lasts },
            _ => Fault::Freeze { core, at, lasts },
        };
        self.add_fault(fault);
    }

    /// A member is cut off, mostly in one direction, and endpoints and operators call it.
    fn calls_to_cut_off_member(&mut self, at: u32) -> u32 {
        let (count, from, lasts) = (self.draws.of(2, 4), self.cut_scope(), self.draws.of(1_200, 6_000));
        self.add_endpoints(self.core, count, at);
        let until = self.add_cut(from, at, lasts);
        self.add_requests(self.core, 4, at, until);
        let starts = self.between(at, until);
        self.script.endpoints.push(EndpointPlan::steady(self.core, starts));
        until
    }

    /// Endpoints leave at a member right when it loses contact; then it may be lost.
    fn departures_at_cut_off(&mut self, at: u32) -> u32 {
        let from = if self.draws.one_in(4) { self.cut_scope() } else { CutScope::All };
        let lasts = self.draws.of(1_000, 10_000);
        for _ in 0..self.draws.of(3, 5) {
            self.add_endpoints(self.core, 1, at);
            let how = if self.draws.one_in(3) { Departure::Drains } else { Departure::Deregisters };
            let leaves = self.between(at - 800, at + 900);
            self.set_departure(leaves, how);
        }
        let until = self.add_cut(from, at, lasts);
        if !self.draws.one_in(3) {
            let lost = self.between(at, until.min(at + 3_000));
            self.add_loss(lost);
        }
        until
    }

    /// A member with slow links stands still, and is cut off about then.
    fn freeze_around_cut_off(&mut self, at: u32) -> u32 {
        let core = self.core;
        let count = self.draws.of(2, 4);
        self.add_endpoints(core, count, at);
        let (lead, by) = (self.draws.of(100, 1_000), self.draws.of(20, 250));
        let slow = self.draws.of(200, 3_000);
        self.script.faults.push(Fault::SlowLinks { core, by, at: at - lead, lasts: lead + slow });
        let frozen_for = self.draws.of(200, 2_000);
        let resumes = self.add_fault(Fault::Freeze { core, at, lasts: frozen_for });
        let latest = if self.draws.one_in(2) { resumes.min(at + 400) } else { resumes };
        let cut = self.between(at - 300, latest);
        let (from, lasts) = (self.cut_scope(), resumes - cut + self.draws.of(300, 4_000));
        self.add_requests(core, 2, at, resumes);
        self.add_cut(from, cut, lasts)
    }

    /// An agent starts, or goes on, beside a member that was cut off before the last changes. It may be all that the agent
    /// reaches at first.
    fn agent_start_during_cut_off(&mut self, at: u32) -> u32 {
        let from = if self.draws.one_in(6) { CutScope::Near } else { CutScope::Cores };
        let lasts = self.draws.of(5_000, 12_000);
        let until = self.add_cut(from, at, lasts);
        let agent = self.draws.of(0, self.script.agents - 1);
        let down = self.between(at + 1_500, until - 500);
        let other = self.other_core();
        self.add_requests(other, 6, at, down);
        let lasts = self.draws.of(100, 1_500);
        let is_frozen = self.draws.one_in(4);
        self.script.faults.push(if is_frozen {
            Fault::AgentFreeze { agent, at: down, lasts: lasts * 2 }
        } else {
            Fault::AgentKill { agent, at: down, lasts }
        });
        if !self.draws.one_in(5) {
            let (at, more) = (self.between(at, down + lasts), self.draws.of(100, 3_000));
            let lasts = (down + lasts).saturating_sub(at) + more;
            self.script.faults.push(Fault::AgentCut { agent, but: Some(self.core), at, lasts });
        }
        until
    }

    /// An endpoint falls silent while a member is cut off, and others go on; one of them knows only that member. An agent may
    /// reach no other one when it is back.
    fn endpoint_crash_during_cut_off(&mut self, at: u32) -> u32 {
        let from = if self.draws.one_in(2) { CutScope::Cores } else { self.cut_scope() };
        let lasts = self.draws.of(3_000, 12_000);
        let until = self.add_cut(from, at, lasts);
        let other = self.other_core();
        self.add_endpoints(other, 3, at);
        let crashes = self.between(at, until);
        self.set_departure(crashes, Departure::Crashes);
        for _ in 0..self.draws.of(1, 2) {
            self.add_endpoints(self.core, 1, at);
            if let Some(endpoint) = self.script.endpoints.last_mut() {
                endpoint.stays = true;
            }
        }
        if !self.draws.one_in(3) {
            let agent = self.draws.of(0, self.script.agents - 1);
            let from = self.between(at, until);
            let lasts = until - from + self.draws.of(100, 4_000);
            self.script.faults.push(Fault::AgentCut { agent, but: Some(self.core), at: from, lasts });
        }
        until
    }

    /// An endpoint stands still, an agent after it, and the agent is cut off meanwhile.
    fn agent_freeze_during_endpoint_pause(&mut self, at: u32) -> u32 {
        let other = self.other_core();
        self.add_endpoints(other, 3, at);
        let pause = self.draws.of(1_300, 4_000);
        if let Some(endpoint) = self.script.endpoints.last_mut() {
            endpoint.pauses = Some((at, pause));
        }
        let agent = self.draws.of(0, self.script.agents - 1);
        let stops = self.between(at + 500, at + pause + 500);
        let lasts = self.draws.of(1_000, 8_000);
        self.script.faults.push(Fault::AgentFreeze { agent, at: stops, lasts });
        let cut = self.between(stops, stops + lasts.min(1_500));
        let until = stops + lasts + self.draws.of(100, 3_000);
        let but = if self.draws.one_in(3) { Some(self.core) } else { None };
        self.script.faults.push(Fault::AgentCut { agent, but, at: cut, lasts: until - cut });
        until
    }
}
