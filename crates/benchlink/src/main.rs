//! Runs balancer instances for the simulator: reads batches from standard input, writes replies to standard output.

use runtrack_balancer::wire::{self, DiscoveryUpdate, EndpointNames, Line, WireError};
use runtrack_balancer::{Action, Balancer, EndpointInfo, Event, Membership, RequestId};
use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    // A panic of a balancer is reported on the wire, so the default hook need not print it too.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("weirwharf-benchlink: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// A request that later input may still refer to.
struct TrackedRequest {
    name: String,
    attempts_out: u32,
    finished: bool,
}

struct Instance {
    balancer: Balancer,
    ids: HashMap<String, RequestId>,
    tracked: HashMap<RequestId, TrackedRequest>,
    next_request: u64,
    classes: usize,
    tenants: usize,
}

#[derive(Default)]
struct Host {
    names: EndpointNames,
    instances: HashMap<u32, Instance>,
    lists: HashMap<u8, Vec<EndpointInfo>>,
    /// The endpoint list being read, and the number of entries still to come.
    open_list: Option<(u8, usize)>,
    now: Option<Duration>,
    actions: Vec<Action>,
    reply: String,
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut output = BufWriter::new(output);
    let mut last_line = 0;
    for (number, line) in (1..).zip(input.split(b'\n')) {
        let bytes = line.map_err(|e| format!("line {number}: {e}"))?;
        let text = std::str::from_utf8(&bytes).map_err(|e| format!("line {number}: field `text`: {e}"))?;
        host.handle_line(number, text).map_err(|e| e.to_string())?;
        if host.now.is_none() {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| e.to_string())?;
            host.reply.clear();
        }
        last_line = number;
    }
    match host.now {
        None => Ok(()),
        Some(_) => Err(format!("line {last_line}: field `message`: input ends inside a batch")),
    }
}

impl Host {
    fn handle_line(&mut self, number: u64, text: &str) -> Result<(), WireError> {
        let error =
            |field: &str, problem: String| WireError { line: number, field: field.to_owned(), problem };
        let line = wire::parse_line(number, text, &mut self.names)?;
        if self.open_list.is_some() != matches!(line, Line::ListEntry(_)) {
            return Err(error("message", "number of entries does not match the endpoint list".to_owned()));
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
                self.lists.insert(list_id, Vec::new());
                self.open_list = (entries > 0).then_some((list_id, entries));
            }
            Line::ListEntry(entry) => {
                if let Some((list_id, remaining)) = self.open_list {
                    self.lists.entry(list_id).or_default().push(entry);
                    self.open_list = (remaining > 1).then_some((list_id, remaining - 1));
                }
            }
            Line::StartInstance { instance, seed, settings } => {
                // Without tenants, requests still carry tenant 0.
                let (classes, tenants) = (settings.classes.len(), settings.tenants.len().max(1));
                let balancer =
                    Balancer::new(*settings, seed, now).map_err(|e| error("conf", e.to_string()))?;
                let (ids, tracked) = Default::default();
                self.instances.insert(
                    instance,
                    Instance { balancer, ids, tracked, next_request: 0, classes, tenants },
                );
            }
            Line::StopInstance(instance) => {
                if self.instances.remove(&instance).is_none() {
                    return Err(error("sidecar", format!("{instance} is not running")));
                }
            }
            Line::Discovery { instance, update, list_id } => {
                let entries_of = |lists: &HashMap<u8, Vec<EndpointInfo>>| {
                    lists
                        .get(&list_id)
                        .cloned()
                        .ok_or_else(|| error("bank", format!("no endpoint list {list_id} was sent")))
                };
                let news = match update {
                    DiscoveryUpdate::Failed => Membership::Failed,
                    DiscoveryUpdate::Delta => Membership::Delta(entries_of(&self.lists)?),
                    DiscoveryUpdate::Full => Membership::Full(entries_of(&self.lists)?),
                    DiscoveryUpdate::Cached => Membership::Cached(entries_of(&self.lists)?),
                };
                self.run(number, now, instance, Event::Membership(news))?;
            }
            Line::Event { instance, name, mut event } => {
                let Some(state) = self.instances.get_mut(&instance) else {
                    return Err(error("sidecar", format!("{instance} is not running")));
                };
                if let Event::Request(request) = &event {
                    for (field, index, size) in [
                        ("customer", request.tenant.0, state.tenants),
                        ("kind", request.class.0, state.classes),
                    ] {
                        if index >= size {
                            return Err(error(field, format!("{index} is out of range, there are {size}")));
                        }
                    }
                }
                if state.resolve_request(name, &mut event) {
                    self.run(number, now, instance, event)?;
                }
            }
        }
        Ok(())
    }

    fn run(&mut self, number: u64, now: Duration, instance: u32, event: Event) -> Result<(), WireError> {
        let Some(state) = self.instances.get_mut(&instance) else {
            let problem = format!("{instance} is not running");
            return Err(WireError { line: number, field: "sidecar".to_owned(), problem });
        };
        let actions = &mut self.actions;
        actions.clear();
        let concerned = match &event {
            Event::AttemptEnded(ended) => Some(ended.request),
            Event::RequestGone(id) => Some(*id),
            _ => None,
        };
        let balancer = &mut state.balancer;
        let result = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = result {
            let problem = panic.downcast_ref::<String>().map(String::as_str);
            let problem = problem.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.reply.push_str(&wire::format_panic(instance, problem));
            self.reply.push('\n');
            return Ok(());
        }
        for action in &self.actions {
            let request = state.track_action(action);
            self.reply.push_str(&wire::format_action(instance, action, &request, &self.names));
            self.reply.push('\n');
        }
        for id in concerned.into_iter().chain(self.actions.iter().filter_map(request_of)) {
            state.forget_finished(id);
        }
        Ok(())
    }
}

fn request_of(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request }
        | Action::Cancel { request, .. } => Some(*request),
        _ => None,
    }
}

impl Instance {
    /// Puts the request's id into the event; returns false if the request is no longer tracked.
    fn resolve_request(&mut self, name: Option<String>, event: &mut Event) -> bool {
        let Some(name) = name else { return true };
        if let Event::Request(request) = event {
            self.next_request += 1;
            request.id = RequestId(self.next_request);
            self.ids.insert(name.clone(), request.id);
            self.tracked.insert(request.id, TrackedRequest { name, attempts_out: 0, finished: false });
            return true;
        }
        let Some(&id) = self.ids.get(&name) else { return false };
        let Some(tracked) = self.tracked.get_mut(&id) else { return false };
        match event {
            Event::StreamStarted { request, .. } => *request = id,
            Event::RequestGone(request) => {
                *request = id;
                tracked.finished = true;
            }
            Event::AttemptEnded(ended) => {
                ended.request = id;
                tracked.attempts_out = tracked.attempts_out.saturating_sub(1);
                tracked.finished |= ended.finished;
            }
            _ => {}
        }
        true
    }

    /// Updates the request that an action concerns; returns the request's name.
    fn track_action(&mut self, action: &Action) -> String {
        let Some(id) = request_of(action) else { return String::new() };
        let Some(tracked) = self.tracked.get_mut(&id) else { return "-".to_owned() };
        tracked.attempts_out += u32::from(matches!(action, Action::Send { .. }));
        tracked.finished |= matches!(action, Action::Refuse { .. } | Action::Fail { .. });
        tracked.name.clone()
    }

    /// Removes a request that is finished and has no attempts in flight.
    fn forget_finished(&mut self, id: RequestId) {
        if self.tracked.get(&id).is_some_and(|tracked| tracked.finished && tracked.attempts_out == 0)
            && let Some(tracked) = self.tracked.remove(&id)
        {
            self.ids.remove(&tracked.name);
        }
    }
}
