//! Scenarios around loss of contact: a member is cut off or frozen while endpoints and operators call it,
//! endpoints leave, or agents start.

use super::READY_MS;
use super::failure_budget::FailureBudget;
use crate::draw::Draws;
use crate::fleet::script::{
    CutScope, Departure, Direction, EndpointPlan, Fault, Request, RequestKind, Script, SendMode,
};

/// Number of scenario kinds that can be drawn.
const SCENARIOS: u32 = 11;
/// A script repeats its scenario at most this many times.
const MAX_REPETITIONS: u32 = 3;

/// State for generating one scenario.
struct Scenario<'a> {
    draws: &'a mut Draws,
    script: &'a mut Script,
    budget: &'a mut FailureBudget,
    /// The member that loses contact.
    core: u32,
}

/// Draws a kind of scenario and adds it to the script one or more times in a row.
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
    /// Draws a time between two times, in either order, both inclusive.
    fn between(&mut self, one: u32, other: u32) -> u32 {
        self.draws.of(one.min(other), one.max(other))
    }

    /// Adds a fault of the member if the failure budget allows it; returns the time at which the fault
    /// ends.
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

    /// Adds endpoints that have called a member since before the given time.
    fn add_endpoints(&mut self, member: u32, count: u32, before: u32) {
        for _ in 0..count {
            let at = self.draws.of(READY_MS, before.saturating_sub(300).max(READY_MS));
            self.script.endpoints.push(EndpointPlan::steady(member, at));
        }
    }

    /// Lets the endpoint that was added last leave.
    fn set_departure(&mut self, at: u32, how: Departure) {
        if let Some(endpoint) = self.script.endpoints.last_mut() {
            endpoint.leaves = Some((at, how));
        }
    }

    /// Adds operators' requests to a member, most of them changes.
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

    /// Kills the member, wipes its disk, cuts its power or freezes it.
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

    /// A member is cut off, often in one direction only, while endpoints and operators call it.
    fn calls_to_cut_off_member(&mut self, at: u32) -> u32 {
        let (count, from, lasts) = (self.draws.of(2, 4), self.cut_scope(), self.draws.of(1_200, 6_000));
        self.add_endpoints(self.core, count, at);
        let until = self.add_cut(from, at, lasts);
        self.add_requests(self.core, 4, at, until);
        let starts = self.between(at, until);
        self.script.endpoints.push(EndpointPlan::steady(self.core, starts));
        until
    }

    /// Endpoints leave through a member just as it loses contact; the member may then be lost.
    fn departures_at_cut_off(&mut self, at: u32) -> u32 {
        let from = if self.draws.one_in(4) { self.cut_scope() } else { CutScope::All };
        let lasts = self.draws.of(1_000, 10_000);
        for _ in 0..self.draws.of(3, 5) {
            self.add_endpoints(self.core, 1, at);
            let how = if self.draws.one_in(3) { Departure::Drains } else { Departure::Deregisters };
            let leaves_at = self.between(at - 800, at + 900);
            self.set_departure(leaves_at, how);
        }
        let until = self.add_cut(from, at, lasts);
        if !self.draws.one_in(3) {
            let lost = self.between(at, until.min(at + 3_000));
            self.add_loss(lost);
        }
        until
    }

    /// A member with slow links freezes, and is cut off at about the same time.
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

    /// An agent starts or resumes next to a member that was cut off before the latest changes. That member
    /// may be the only one that the agent can reach at first.
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

    /// An endpoint crashes while a member is cut off and others keep sending heartbeats; at least one of
    /// those calls only that member. An agent may reach only that member when it is back.
    fn endpoint_crash_during_cut_off(&mut self, at: u32) -> u32 {
        let from = if self.draws.one_in(2) { CutScope::Cores } else { self.cut_scope() };
        let lasts = self.draws.of(3_000, 12_000);
        let until = self.add_cut(from, at, lasts);
        let other = self.other_core();
        self.add_endpoints(other, 3, at);
        let crashed_at = self.between(at, until);
        self.set_departure(crashed_at, Departure::Crashes);
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

    /// An endpoint pauses, an agent freezes after it, and the agent is cut off in the meantime.
    fn agent_freeze_during_endpoint_pause(&mut self, at: u32) -> u32 {
        let other = self.other_core();
        self.add_endpoints(other, 3, at);
        let pause = self.draws.of(1_300, 4_000);
        if let Some(endpoint) = self.script.endpoints.last_mut() {
            endpoint.pauses = Some((at, pause));
        }
        let agent = self.draws.of(0, self.script.agents - 1);
        let frozen_at = self.between(at + 500, at + pause + 500);
        let lasts = self.draws.of(1_000, 8_000);
        self.script.faults.push(Fault::AgentFreeze { agent, at: frozen_at, lasts });
        let cut = self.between(frozen_at, frozen_at + lasts.min(1_500));
        let until = frozen_at + lasts + self.draws.of(100, 3_000);
        let but = if self.draws.one_in(3) { Some(self.core) } else { None };
        self.script.faults.push(Fault::AgentCut { agent, but, at: cut, lasts: until - cut });
        until
    }
}
