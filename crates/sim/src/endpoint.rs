//! Simulated endpoints: run every complete request; slow, cold, draining or down, with faulty responses, as scripted.

use crate::facts::Execution;
use crate::http::{Message, Reader};
use crate::net::Stream;
use crate::script::{Class, Fault, ResponseFault};
use crate::world::{self, ENDPOINT_SLOTS, PORT, World, endpoint_ip, mean_service_time, ms};
use rand_core::RngCore;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

/// A simulated endpoint.
pub struct Endpoint {
    world: Rc<World>,
    number: u32,
    /// When its process started, if during this run.
    started: Cell<Option<Duration>>,
    running: Cell<usize>,
    /// Requests accepted so far; seeds the random numbers of each.
    received: Cell<u64>,
}

impl Endpoint {
    /// An endpoint that has been running for long and is warm.
    pub fn new(world: Rc<World>, number: u32) -> Rc<Endpoint> {
        let (started, running, received) = Default::default();
        Rc::new(Endpoint { world, number, started, running, received })
    }

    /// Starts its process, cold.
    pub fn start_process(&self) {
        let now = self.world.now();
        self.started.set(Some(now));
        self.running.set(0);
        self.world.facts.borrow_mut().endpoint_starts.push((self.number, now));
    }

    /// Serves connections until the task is dropped, as when the process dies.
    pub async fn serve(self: Rc<Self>) {
        let at = SocketAddr::new(endpoint_ip(self.number), PORT);
        let Ok(listener) = self.world.network.listen(at) else { return };
        let mut connections = JoinSet::new();
        while let Ok(stream) = listener.next().await {
            connections.spawn_local(self.clone().handle_connection(stream));
        }
    }

    async fn handle_connection(self: Rc<Self>, mut stream: Stream) {
        let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
        loop {
            let message = match reader.next_message() {
                Ok(Some(message)) => message,
                Err(_) => return,
                Ok(None) => match timeout(world::IDLE_TIMEOUT, stream.read(&mut bytes)).await {
                    Ok(Ok(count)) if count > 0 => {
                        reader.feed(&bytes[..count]);
                        continue;
                    }
                    _ => return,
                },
            };
            if self.handle_request(&mut stream, &message).await.is_none() {
                return;
            }
        }
    }

    /// Runs a request and responds; `None` if the connection must be closed.
    async fn handle_request(&self, stream: &mut Stream, message: &Message) -> Option<()> {
        let class = match message.first.split([' ', '/', '?']).nth(2)? {
            "quote" => Class::Quote,
            "pay" => Class::Pay,
            "book" => Class::Book,
            _ => return write(stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await,
        };
        let id = message.header("x-request-id").unwrap_or_default().to_owned();
        if self.running.get() >= ENDPOINT_SLOTS {
            let link = stream.link();
            let now = self.world.now();
            if let Some(attempt) = self
                .world
                .facts
                .borrow_mut()
                .attempts
                .iter_mut()
                .rev()
                .find(|attempt| attempt.connection == link && attempt.id == id)
            {
                attempt.rejected = Some(now);
            }
            let text =
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            return write(stream, text).await;
        }
        let run = self.received.replace(self.received.get() + 1);
        let mut draws = self.world.draws(&format!("run {} {run}", self.number));
        let body = format!("{id} ran at {} as {run}", self.number);
        let fault = self.response_fault(&mut draws);
        let response_valid =
            matches!(fault, None | Some(ResponseFault::Twice(_) | ResponseFault::Informed));
        let now = self.world.now();
        let execution =
            Execution { id, endpoint: self.number, at: now, body: body.clone(), response_valid };
        self.world.facts.borrow_mut().executions.push(execution);
        self.running.set(self.running.get() + 1);
        let factor = 0.5 + f64::from(draws.next_u32()) / f64::from(u32::MAX);
        sleep(mean_service_time(class).mul_f64(factor * self.slowdown())).await;
        self.running.set(self.running.get().saturating_sub(1));
        let valid_response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        match fault {
            None => write(stream, &valid_response).await,
            Some(ResponseFault::Noise) => write(stream, "\u{1}noise that is no answer\r\n\r\n").await,
            Some(ResponseFault::Short) => {
                let _ = write(stream, &valid_response[..valid_response.len() - 4]).await;
                None
            }
            Some(ResponseFault::Twice(after)) => {
                write(stream, &valid_response).await?;
                sleep(ms(after)).await;
                write(stream, &valid_response).await
            }
            Some(ResponseFault::Swallowed) => std::future::pending().await,
            Some(ResponseFault::Informed) => {
                write(stream, "HTTP/1.1 102 Processing\r\n\r\n").await?;
                sleep(Duration::from_millis(5)).await;
                write(stream, &valid_response).await
            }
            Some(ResponseFault::Error) => {
                write(stream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n").await
            }
            Some(ResponseFault::Reset) => {
                stream.abort();
                None
            }
        }
    }

    fn active_fault<'a, T>(
        &'a self,
        select: impl Fn(&'a Fault) -> Option<(u32, u32, u32, T)> + 'a,
    ) -> Option<T> {
        let now = self.world.now().as_millis() as u32;
        let here = self.world.script.faults.iter().filter_map(select);
        here.filter(|(endpoint, at, lasts, _)| *endpoint == self.number && (*at..at + lasts).contains(&now))
            .map(|(.., what)| what)
            .next()
    }

    fn response_fault(&self, draws: &mut impl RngCore) -> Option<ResponseFault> {
        let (one_of, how) = self.active_fault(|fault| match fault {
            Fault::Spoils { endpoint, at, lasts, one_of, how } => {
                Some((*endpoint, *at, *lasts, (*one_of, *how)))
            }
            _ => None,
        })?;
        draws.next_u32().is_multiple_of(one_of.max(1)).then_some(how)
    }

    /// Factor on the usual service time, from faults and from being cold.
    fn slowdown(&self) -> f64 {
        let slow = self.active_fault(|fault| match fault {
            Fault::Slow { endpoint, at, lasts, times } => Some((*endpoint, *at, *lasts, *times)),
            _ => None,
        });
        let warm = self.started.get().map_or(1.0, |started| {
            let age =
                self.world.now().saturating_sub(started).as_secs_f64() / world::WARM_WITHIN.as_secs_f64();
            (world::COLD_SHARE + (1.0 - world::COLD_SHARE) * age).min(1.0)
        });
        f64::from(slow.unwrap_or(1)) / warm
    }
}

async fn write(stream: &mut Stream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// Starts and kills an endpoint's process at the times of the script; `from` is its first start, if not running already.
pub fn run_process(endpoint: Rc<Endpoint>, from: Option<u32>) {
    let (world, number) = (endpoint.world.clone(), endpoint.number);
    let mut transitions: Vec<(u32, bool)> = from.iter().map(|at| (*at, true)).collect();
    for fault in &world.script.faults {
        match fault {
            Fault::Dies { endpoint, at, lasts } if *endpoint == number => {
                transitions.extend([(*at, false), (at + lasts, true)]);
            }
            Fault::Drains { endpoint, at, lasts } if *endpoint == number => {
                transitions.push((at + lasts, false))
            }
            _ => {}
        }
    }
    transitions.sort_unstable();
    spawn_local(async move {
        let mut process = JoinSet::new();
        if from.is_none() {
            process.spawn_local(endpoint.clone().serve());
        }
        for (at, up) in transitions {
            sleep_until(world.at(at)).await;
            match up {
                true if process.is_empty() => {
                    endpoint.start_process();
                    process.spawn_local(endpoint.clone().serve());
                }
                true => {}
                false => {
                    world.network.process_died(endpoint_ip(number));
                    process.abort_all();
                    while process.join_next().await.is_some() {}
                }
            }
        }
        std::future::pending::<()>().await;
    });
}
