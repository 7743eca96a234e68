//! Parser of input lines.

use super::fields::Fields;
use super::{DiscoveryUpdate, EndpointNames, Line, WireError, parse_settings};
use crate::types::*;

/// Placeholder request id, replaced by the host.
const UNSET: RequestId = RequestId(u64::MAX);
/// Highest number of an endpoint list.
const MAX_LIST_ID: u8 = 15;

/// Parses line number `line`; `names` maps endpoint names to ids.
pub fn parse_line(line: u64, text: &str, names: &mut EndpointNames) -> Result<Line, WireError> {
    let mut f = Fields::new(line, text);
    let keyword = f.text("message")?;
    let parsed = match keyword {
        "turn" => Line::BatchStart(f.time("clock")?),
        "flush" => Line::BatchEnd,
        "table" => {
            let list_id = list_id(&mut f)?;
            Line::EndpointList { list_id, entries: f.integer::<u32>("items")? as usize }
        }
        "m" => Line::ListEntry(entry(&mut f, names)?),
        "spawn" => {
            let (instance, seed) = (f.integer("sidecar")?, f.integer("initSeed")?);
            let text = f.remainder();
            return Ok(Line::StartInstance {
                instance,
                seed,
                settings: Box::new(parse_settings(line, &text)?),
            });
        }
        "detach" => Line::StopInstance(f.integer("sidecar")?),
        "targets" => targets(&mut f)?,
        "order" | "opened" | "result" | "aborted" | "timeout_fired" | "sampled" | "neighbour_says" => {
            let instance = f.integer("sidecar")?;
            let (name, event) = event(keyword, &mut f, names)?;
            Line::Event { instance, name, event }
        }
        other => return Err(f.error("message", format!("`{other}` is no known message"))),
    };
    f.end()?;
    Ok(parsed)
}

fn entry(f: &mut Fields, names: &mut EndpointNames) -> Result<EndpointInfo, WireError> {
    Ok(EndpointInfo {
        id: names.id(f.text("endpoint")?),
        zone: ZoneId(f.index("az")? as u32),
        machine_type: MachineTypeId(f.index("kind")? as u32),
        cell: CellId(match f.optional("group")? {
            None => 0,
            Some(text) => f.parsed("group", text, "a whole number in range")?,
        }),
        state: match f.text("health")? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(f.error("health", format!("`{other}` is no known state"))),
        },
        weight: match f.optional("units")? {
            None => 1.0,
            Some(text) => f.finite("units", text)?,
        },
        started_at: f.optional_time("lastStartMs")?.filter(|at| !at.is_zero()),
    })
}

fn targets(f: &mut Fields) -> Result<Line, WireError> {
    let instance = f.integer("sidecar")?;
    let update = match f.text("mode")? {
        "D" => DiscoveryUpdate::Delta,
        "F" => DiscoveryUpdate::Full,
        "C" => DiscoveryUpdate::Cached,
        "X" => DiscoveryUpdate::Failed,
        other => return Err(f.error("mode", format!("`{other}` is no known mode"))),
    };
    if let Some(text) = f.optional("epoch")? {
        f.parsed::<u64>("epoch", text, "a whole number")?;
    }
    // A failed update has no list.
    let list_id = if update == DiscoveryUpdate::Failed { f.text("bank").map(|_| 0)? } else { list_id(f)? };
    Ok(Line::Discovery { instance, update, list_id })
}

fn list_id(f: &mut Fields) -> Result<u8, WireError> {
    let list_id: u8 = f.integer("bank")?;
    if list_id > MAX_LIST_ID {
        return Err(f.error("bank", format!("{list_id} is over {MAX_LIST_ID}")));
    }
    Ok(list_id)
}

/// Parses an event, and the request's name if it concerns one.
fn event(
    keyword: &str,
    f: &mut Fields,
    names: &mut EndpointNames,
) -> Result<(Option<String>, Event), WireError> {
    Ok(match keyword {
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

fn attempt_ended(f: &mut Fields, names: &mut EndpointNames) -> Result<AttemptEnded, WireError> {
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
