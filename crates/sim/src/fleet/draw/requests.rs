//! Generates the requests of operators and the lifetimes of endpoints.

use crate::draw::Draws;
use crate::fleet::script::{Departure, EndpointPlan, Request, RequestKind, Script, SendMode};

/// Number of operators.
const OPERATORS: u32 = 4;

/// Adds operators' requests to the script.
pub fn draw(draws: &mut Draws, script: &mut Script, length: u32) {
    let count = draws.of(12, 40);
    for _ in 0..count {
        let mut at = draws.of(100, length);
        // Errors are most likely around the start and the end of a fault.
        if !script.faults.is_empty() && draws.one_in(2) {
            let (starts_at, lasts) =
                script.faults[draws.of(0, script.faults.len() as u32 - 1) as usize].span();
            let boundary = if draws.one_in(2) { starts_at } else { starts_at + lasts };
            at = (boundary + draws.of(0, 600)).saturating_sub(200).max(100);
        }
        let (operator, member) = (draws.of(0, OPERATORS - 1), draws.of(0, 15));
        let what = draw_request(draws);
        let request = Request { at, operator, member, what };
        if draws.one_in(4) {
            // Another operator concurrently sends a change with the same version number.
            let (operator, member) = ((operator + 1) % OPERATORS, draws.of(0, 15));
            let what = RequestKind::Replace { step: 1, manner: SendMode::Patient };
            script.requests.push(Request { at: at + draws.of(0, 12), operator, member, what });
        }
        script.requests.push(request);
    }
    script.requests.sort_by_key(|request| request.at);
}

fn draw_request(draws: &mut Draws) -> RequestKind {
    match draws.of(0, 19) {
        0..=4 => RequestKind::Read,
        5..=9 => RequestKind::Replace { step: draws.of(1, 3), manner: SendMode::Patient },
        10..=12 => RequestKind::Replace { step: 1, manner: SendMode::Once },
        13..=15 => RequestKind::Replace { step: 1, manner: SendMode::AnswerLost(draws.of(0, 40)) },
        16 => RequestKind::ReplaceStale { behind: draws.of(0, 4) as i32 - 2 },
        17 => RequestKind::ReplaceInvalid,
        _ => RequestKind::Repeat { back: draws.of(0, 6) },
    }
}

/// Adds endpoints and their lifetimes to the script.
pub fn draw_endpoints(draws: &mut Draws, script: &mut Script, length: u32) {
    for _ in 0..draws.of(1, 5) {
        let at = draws.of(200, length / 2);
        let leaving = match draws.of(0, 3) {
            0 | 1 => Some(Departure::Drains),
            2 => Some(Departure::Deregisters),
            _ => Some(Departure::Crashes),
        };
        let leaves =
            leaving.filter(|_| !draws.one_in(4)).map(|how| (draws.of(at + 500, length + 1_000), how));
        let member = draws.of(0, 15);
        script.endpoints.push(EndpointPlan { leaves, ..EndpointPlan::steady(member, at) });
    }
}
