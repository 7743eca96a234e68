//! Endpoints: they run what comes whole, and are slow, cold, draining or gone, and spoil answers, as the script says.

use crate::facts::Effect;
use crate::http::{Message, Reader};
use crate::net::Stream;
use crate::script::{Class, Fault, Spoil};
use crate::world::{self, PORT, SLOTS, World, endpoint_ip, mean_work, ms};
use rand_core::RngCore;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

/// An endpoint.
pub struct Endpoint {
    world: Rc<World>,
    number: u32,
    /// When its process started, if that was in this run.
    started: Cell<Option<Duration>>,
    running: Cell<usize>,
    /// Requests that came, for draws.
    came: Cell<u64>,
}

impl Endpoint {
    /// One that has been up for long.
    pub fn new(world: Rc<World>, number: u32) -> Rc<Endpoint> {
        let (started, running, came) = Default::default();
        Rc::new(Endpoint { world, number, started, running, came })
    }

    /// Its process starts now, cold.
    pub fn starts(&self) {
        let now = self.world.now();
        self.started.set(Some(now));
        self.running.set(0);
        self.world.facts.borrow_mut().started.push((self.number, now));
    }

    /// Serves until the task is dropped, as when its process dies. What has begun to run goes on for itself.
    pub async fn serve(self: Rc<Self>) {
        let at = SocketAddr::new(endpoint_ip(self.number), PORT);
        let Ok(listener) = self.world.wires.listen(at) else { return };
        let mut connections = JoinSet::new();
        while let Ok(stream) = listener.next().await {
            connections.spawn_local(self.clone().connection(stream));
        }
    }

    async fn connection(self: Rc<Self>, mut stream: Stream) {
        let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
        loop {
            let message = match reader.next_message() {
                Ok(Some(message)) => message,
                Err(_) => return,
                Ok(None) => match timeout(world::IDLE, stream.read(&mut bytes)).await {
                    Ok(Ok(count)) if count > 0 => {
                        reader.feed(&bytes[..count]);
                        continue;
                    }
                    _ => return,
                },
            };
            if self.answer(&mut stream, &message).await.is_none() {
                return;
            }
        }
    }

    /// Runs a request and answers it; none where the connection is to be closed.
    async fn answer(&self, stream: &mut Stream, message: &Message) -> Option<()> {
        let class = match message.first.split([' ', '/', '?']).nth(2)? {
            "quote" => Class::Quote,
            "pay" => Class::Pay,
            "book" => Class::Book,
            _ => return write(stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await,
        };
        let id = message.header("x-request-id").unwrap_or_default().to_owned();
        if self.running.get() >= SLOTS {
            let link = stream.link();
            let now = self.world.now();
            if let Some(attempt) = self
                .world
                .facts
                .borrow_mut()
                .attempts
                .iter_mut()
                .rev()
                .find(|attempt| attempt.link == link && attempt.id == id)
            {
                attempt.turned_away = Some(now);
            }
            let text =
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            return write(stream, text).await;
        }
        let run = self.came.replace(self.came.get() + 1);
        let mut draws = self.world.draws(&format!("run {} {run}", self.number));
        let body = format!("{id} ran at {} as {run}", self.number);
        let spoil = self.spoil(&mut draws);
        let answers = matches!(spoil, None | Some(Spoil::Twice(_) | Spoil::Informed));
        let now = self.world.now();
        let effect = Effect { id, endpoint: self.number, at: now, body: body.clone(), answers };
        self.world.facts.borrow_mut().effects.push(effect);
        self.running.set(self.running.get() + 1);
        let factor = 0.5 + f64::from(draws.next_u32()) / f64::from(u32::MAX);
        sleep(mean_work(class).mul_f64(factor * self.slowness())).await;
        self.running.set(self.running.get().saturating_sub(1));
        let good = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        match spoil {
            None => write(stream, &good).await,
            Some(Spoil::Noise) => write(stream, "\u{1}noise that is no answer\r\n\r\n").await,
            Some(Spoil::Short) => {
                let _ = write(stream, &good[..good.len() - 4]).await;
                None
            }
            Some(Spoil::Twice(after)) => {
                write(stream, &good).await?;
                sleep(ms(after)).await;
                write(stream, &good).await
            }
            Some(Spoil::Swallowed) => std::future::pending().await,
            Some(Spoil::Informed) => {
                write(stream, "HTTP/1.1 102 Processing\r\n\r\n").await?;
                sleep(Duration::from_millis(5)).await;
                write(stream, &good).await
            }
            Some(Spoil::Error) => {
                write(stream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n").await
            }
            Some(Spoil::Reset) => {
                stream.abort();
                None
            }
        }
    }

    fn faults<'a, T>(&'a self, of: impl Fn(&'a Fault) -> Option<(u32, u32, u32, T)> + 'a) -> Option<T> {
        let now = self.world.now().as_millis() as u32;
        let here = self.world.script.faults.iter().filter_map(of);
        here.filter(|(endpoint, at, lasts, _)| *endpoint == self.number && (*at..at + lasts).contains(&now))
            .map(|(.., what)| what)
            .next()
    }

    fn spoil(&self, draws: &mut impl RngCore) -> Option<Spoil> {
        let (one_of, how) = self.faults(|fault| match fault {
            Fault::Spoils { endpoint, at, lasts, one_of, how } => {
                Some((*endpoint, *at, *lasts, (*one_of, *how)))
            }
            _ => None,
        })?;
        draws.next_u32().is_multiple_of(one_of.max(1)).then_some(how)
    }

    /// How many times as long as usual it takes.
    fn slowness(&self) -> f64 {
        let slow = self.faults(|fault| match fault {
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

/// Plays an endpoint's process through the script: its deaths, and its coming.
pub fn play(endpoint: Rc<Endpoint>, from: Option<u32>) {
    let (world, number) = (endpoint.world.clone(), endpoint.number);
    let mut turns: Vec<(u32, bool)> = from.iter().map(|at| (*at, true)).collect();
    for fault in &world.script.faults {
        match fault {
            Fault::Dies { endpoint, at, lasts } if *endpoint == number => {
                turns.extend([(*at, false), (at + lasts, true)]);
            }
            Fault::Drains { endpoint, at, lasts } if *endpoint == number => turns.push((at + lasts, false)),
            _ => {}
        }
    }
    turns.sort_unstable();
    spawn_local(async move {
        let mut process = JoinSet::new();
        if from.is_none() {
            process.spawn_local(endpoint.clone().serve());
        }
        for (at, up) in turns {
            sleep_until(world.at(at)).await;
            match up {
                true if process.is_empty() => {
                    endpoint.starts();
                    process.spawn_local(endpoint.clone().serve());
                }
                true => {}
                false => {
                    world.wires.process_died(endpoint_ip(number));
                    process.abort_all();
                    while process.join_next().await.is_some() {}
                }
            }
        }
        std::future::pending::<()>().await;
    });
}
