//! Hosts balancer instances for the simulator: batches on standard input, replies on standard output.

use runtrack_balancer::wire::{self, DiscoveryUpdate, EndpointNames, Line, WireError};
use runtrack_balancer::{Action, Balancer, EndpointInfo, Event, Membership, RequestId};
use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    // A panic of the module is reported on the wire; the default hook's trace would only add noise.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("weirwharf-benchlink: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// A request that the wire may still speak of.
struct Known {
    name: String,
    attempts_out: u32,
    finished: bool,
}

struct Instance {
    balancer: Balancer,
    ids: HashMap<String, RequestId>,
    known: HashMap<RequestId, Known>,
    next_request: u64,
    classes: usize,
    tenants: usize,
}

#[derive(Default)]
struct Host {
    names: EndpointNames,
    instances: HashMap<u32, Instance>,
    tables: HashMap<u8, Vec<EndpointInfo>>,
    /// The table being read and the entries still missing from it.
    filling: Option<(u8, usize)>,
    now: Option<Duration>,
    actions: Vec<Action>,
    reply: String,
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut output = BufWriter::new(output);
    let mut last = 0;
    for (number, line) in (1..).zip(input.split(b'\n')) {
        let bytes = line.map_err(|e| format!("line {number}: {e}"))?;
        let text = std::str::from_utf8(&bytes).map_err(|e| format!("line {number}: field `text`: {e}"))?;
        host.take(number, text).map_err(|e| e.to_string())?;
        if host.now.is_none() {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| e.to_string())?;
            host.reply.clear();
        }
        last = number;
    }
    match host.now {
        None => Ok(()),
        Some(_) => Err(format!("line {last}: field `message`: input ends inside a batch")),
    }
}

impl Host {
    fn take(&mut self, number: u64, text: &str) -> Result<(), WireError> {
        let error =
            |field: &str, problem: String| WireError { line: number, field: field.to_owned(), problem };
        let line = wire::parse_line(number, text, &mut self.names)?;
        if self.filling.is_some() != matches!(line, Line::ListEntry(_)) {
            return Err(error("message", "entries and the table they belong to do not match".to_owned()));
        }
        let now = match (&line, self.now) {
            (Line::BatchStart(now), None) => {
                self.now = Some(*now);
                return Ok(());
            }
            (Line::BatchStart(_), Some(_)) => return Err(error("message", "nested batch".to_owned())),
            (_, None) => return Err(error("message", "no batch is open".to_owned())),
            (_, Some(now)) => now,
        };
        match line {
            Line::BatchStart(_) => {}
            Line::BatchEnd => {
                self.now = None;
                self.reply.push_str("next\n");
            }
            Line::EndpointList { list_id, entries } => {
                self.tables.insert(list_id, Vec::new());
                self.filling = (entries > 0).then_some((list_id, entries));
            }
            Line::ListEntry(entry) => {
                if let Some((list_id, missing)) = self.filling {
                    self.tables.entry(list_id).or_default().push(entry);
                    self.filling = (missing > 1).then_some((list_id, missing - 1));
                }
            }
            Line::StartInstance { instance, seed, settings } => {
                // Where there are no tenants, requests come with tenant 0 all the same.
                let (classes, tenants) = (settings.classes.len(), settings.tenants.len().max(1));
                let balancer =
                    Balancer::new(*settings, seed, now).map_err(|e| error("conf", e.to_string()))?;
                let (ids, known) = Default::default();
                self.instances
                    .insert(instance, Instance { balancer, ids, known, next_request: 0, classes, tenants });
            }
            Line::StopInstance(instance) => {
                if self.instances.remove(&instance).is_none() {
                    return Err(error("sidecar", format!("{instance} is not running")));
                }
            }
            Line::Discovery { instance, update, list_id } => {
                let listed = |tables: &HashMap<u8, Vec<EndpointInfo>>| {
                    tables
                        .get(&list_id)
                        .cloned()
                        .ok_or_else(|| error("bank", format!("no table {list_id} was sent")))
                };
                let news = match update {
                    DiscoveryUpdate::Failed => Membership::Failed,
                    DiscoveryUpdate::Delta => Membership::Delta(listed(&self.tables)?),
                    DiscoveryUpdate::Full => Membership::Full(listed(&self.tables)?),
                    DiscoveryUpdate::Cached => Membership::Cached(listed(&self.tables)?),
                };
                self.run(number, now, instance, Event::Membership(news))?;
            }
            Line::Event { instance, name, mut event } => {
                let Some(host) = self.instances.get_mut(&instance) else {
                    return Err(error("sidecar", format!("{instance} is not running")));
                };
                if let Event::Request(request) = &event {
                    for (field, index, size) in [
                        ("customer", request.tenant.0, host.tenants),
                        ("kind", request.class.0, host.classes),
                    ] {
                        if index >= size {
                            return Err(error(field, format!("{index} is out of range, there are {size}")));
                        }
                    }
                }
                if host.translate(name, &mut event) {
                    self.run(number, now, instance, event)?;
                }
            }
        }
        Ok(())
    }

    fn run(&mut self, number: u64, now: Duration, instance: u32, event: Event) -> Result<(), WireError> {
        let Some(host) = self.instances.get_mut(&instance) else {
            let problem = format!("{instance} is not running");
            return Err(WireError { line: number, field: "sidecar".to_owned(), problem });
        };
        let actions = &mut self.actions;
        actions.clear();
        let about = match &event {
            Event::AttemptEnded(ended) => Some(ended.request),
            Event::RequestGone(id) => Some(*id),
            _ => None,
        };
        let balancer = &mut host.balancer;
        let outcome = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = outcome {
            let problem = panic.downcast_ref::<String>().map(String::as_str);
            let problem = problem.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.reply.push_str(&wire::format_panic(instance, problem));
            self.reply.push('\n');
            return Ok(());
        }
        for action in &self.actions {
            let request = host.note(action);
            self.reply.push_str(&wire::format_action(instance, action, &request, &self.names));
            self.reply.push('\n');
        }
        for id in about.into_iter().chain(self.actions.iter().filter_map(about_request)) {
            host.tidy(id);
        }
        Ok(())
    }
}

fn about_request(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request }
        | Action::Cancel { request, .. } => Some(*request),
        _ => None,
    }
}

impl Instance {
    /// Puts the request's id into the event; false where the event is about a request long done.
    fn translate(&mut self, name: Option<String>, event: &mut Event) -> bool {
        let Some(name) = name else { return true };
        if let Event::Request(request) = event {
            self.next_request += 1;
            request.id = RequestId(self.next_request);
            self.ids.insert(name.clone(), request.id);
            self.known.insert(request.id, Known { name, attempts_out: 0, finished: false });
            return true;
        }
        let Some(&id) = self.ids.get(&name) else { return false };
        let Some(known) = self.known.get_mut(&id) else { return false };
        match event {
            Event::StreamStarted { request, .. } => *request = id,
            Event::RequestGone(request) => {
                *request = id;
                known.finished = true;
            }
            Event::AttemptEnded(ended) => {
                ended.request = id;
                known.attempts_out = known.attempts_out.saturating_sub(1);
                known.finished |= ended.finished;
            }
            _ => {}
        }
        true
    }

    /// Keeps count of what an action does to its request, and gives the request's name.
    fn note(&mut self, action: &Action) -> String {
        let Some(id) = about_request(action) else { return String::new() };
        let Some(known) = self.known.get_mut(&id) else { return "-".to_owned() };
        known.attempts_out += u32::from(matches!(action, Action::Send { .. }));
        known.finished |= matches!(action, Action::Refuse { .. } | Action::Fail { .. });
        known.name.clone()
    }

    /// Forgets a request that nothing more can be heard of.
    fn tidy(&mut self, id: RequestId) {
        if self.known.get(&id).is_some_and(|known| known.finished && known.attempts_out == 0)
            && let Some(known) = self.known.remove(&id)
        {
            self.ids.remove(&known.name);
        }
    }
}
