//! Lines of input, parsed.

use super::fields::Fields;
use super::{Line, ListMode, Names, WireError, settings};
use crate::types::*;

/// Stands in an event until the host puts the request's own id there.
const UNSET: RequestId = RequestId(u64::MAX);
/// Lists are numbered from 0 to this.
const MAX_BANK: u8 = 15;

/// Reads line number `line`; `names` turns endpoint names into ids.
pub fn parse(line: u64, text: &str, names: &mut Names) -> Result<Line, WireError> {
    let mut f = Fields::new(line, text);
    let word = f.text("message")?;
    let parsed = match word {
        "turn" => Line::Turn(f.time("clock")?),
        "flush" => Line::Flush,
        "table" => {
            let bank = bank(&mut f)?;
            Line::Table { bank, entries: f.integer::<u32>("items")? as usize }
        }
        "m" => Line::Entry(entry(&mut f, names)?),
        "spawn" => {
            let (instance, seed) = (f.integer("sidecar")?, f.integer("initSeed")?);
            let text = f.remainder();
            return Ok(Line::Spawn { instance, seed, settings: Box::new(settings(line, &text)?) });
        }
        "detach" => Line::Detach(f.integer("sidecar")?),
        "targets" => targets(&mut f)?,
        "order" | "opened" | "result" | "aborted" | "timeout_fired" | "sampled" | "neighbour_says" => {
            let instance = f.integer("sidecar")?;
            let (name, event) = event(word, &mut f, names)?;
            Line::Event { instance, name, event }
        }
        other => return Err(f.error("message", format!("`{other}` is no known message"))),
    };
    f.end()?;
    Ok(parsed)
}

fn entry(f: &mut Fields, names: &mut Names) -> Result<EndpointInfo, WireError> {
    Ok(EndpointInfo {
        id: names.id(f.text("endpoint")?),
        zone: ZoneId(f.index("az")? as u32),
        kind: KindId(f.index("kind")? as u32),
        cell: CellId(match f.optional("group")? {
            None => 0,
            Some(text) => f.parsed("group", text, "a whole number in range")?,
        }),
        state: match f.text("health")? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Gone,
            other => return Err(f.error("health", format!("`{other}` is no known state"))),
        },
        weight: match f.optional("units")? {
            None => 1.0,
            Some(text) => f.finite("units", text)?,
        },
        started: f.optional_time("lastStartMs")?.filter(|at| !at.is_zero()),
    })
}

fn targets(f: &mut Fields) -> Result<Line, WireError> {
    let instance = f.integer("sidecar")?;
    let mode = match f.text("mode")? {
        "D" => ListMode::Changes,
        "F" => ListMode::Full,
        "C" => ListMode::Cached,
        "X" => ListMode::Failed,
        other => return Err(f.error("mode", format!("`{other}` is no known mode"))),
    };
    if let Some(text) = f.optional("epoch")? {
        f.parsed::<u64>("epoch", text, "a whole number")?;
    }
    // The list's number means nothing where nothing is listed.
    let bank = if mode == ListMode::Failed { f.text("bank").map(|_| 0)? } else { bank(f)? };
    Ok(Line::Targets { instance, mode, bank })
}

fn bank(f: &mut Fields) -> Result<u8, WireError> {
    let bank: u8 = f.integer("bank")?;
    if bank > MAX_BANK {
        return Err(f.error("bank", format!("{bank} is over {MAX_BANK}")));
    }
    Ok(bank)
}

/// An event, and the request's name where it has one.
fn event(word: &str, f: &mut Fields, names: &mut Names) -> Result<(Option<String>, Event), WireError> {
    Ok(match word {
        "order" => {
            let name = f.text("job")?.to_owned();
            (Some(name), Event::Request(request(f)?))
        }
        "opened" => {
            let name = f.text("job")?.to_owned();
            let attempt = AttemptNo(f.integer("copy")?);
            f.text("endpoint")?;
            f.time("elapsedMs")?;
            (Some(name), Event::StreamStarted { request: UNSET, attempt })
        }
        "result" => {
            let name = f.text("job")?.to_owned();
            (Some(name), Event::AttemptEnded(attempt_ended(f, names)?))
        }
        "aborted" => (Some(f.text("job")?.to_owned()), Event::RequestGone(UNSET)),
        "timeout_fired" => (None, Event::Timer(TimerToken(f.integer("ctx")?))),
        "sampled" => {
            let endpoint = names.id(f.text("endpoint")?);
            let (outcome, elapsed, report) = (f.outcome("how")?, f.time("elapsedMs")?, f.report("report")?);
            (None, Event::ProbeEnded { endpoint, outcome, elapsed, report })
        }
        _ => (None, peer_message(f)?),
    })
}

fn request(f: &mut Fields) -> Result<Request, WireError> {
    let work_hint = f.optional_time("estimateMs")?;
    let key = f.optional("item")?.map(|text| hex(f, text)).transpose()?;
    let attrs: u32 = f.integer("attrs")?;
    let time_left = f.time("patienceLeftMs")?;
    let (tenant, class) = (TenantId(f.index("customer")?), ClassId(f.index("kind")?));
    Ok(Request {
        id: UNSET,
        class,
        tenant,
        time_left,
        work_hint: work_hint.filter(|_| attrs & 1 != 0),
        key,
        client_retry: attrs & 2 != 0,
        write: attrs & 4 != 0,
    })
}

fn hex(f: &Fields, text: &str) -> Result<u64, WireError> {
    u64::from_str_radix(text, 16).map_err(|_| f.error("item", format!("`{text}` is not hex")))
}

fn attempt_ended(f: &mut Fields, names: &mut Names) -> Result<AttemptEnded, WireError> {
    let (outcome, elapsed, finished) = (f.outcome("how")?, f.time("elapsedMs")?, f.flag("noMore")?);
    let endpoint = names.id(f.text("endpoint")?);
    let attempt = AttemptNo(f.integer("copy")?);
    let report = f.report("report")?;
    Ok(AttemptEnded { request: UNSET, attempt, endpoint, outcome, elapsed, finished, report })
}

fn peer_message(f: &mut Fields) -> Result<Event, WireError> {
    use base64::Engine;
    let from = f.integer("from")?;
    let text = f.optional("payload")?.unwrap_or("");
    let payload = base64::engine::general_purpose::STANDARD
        .decode(text)
        .map_err(|_| f.error("payload", "not base64"))?;
    Ok(Event::PeerMessage { from, payload })
}
