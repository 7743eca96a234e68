//! Proxies that are served by members and move between them.

use super::*;

/// What an instance serves to proxies.
pub(super) struct Serving {
    pub(super) cache: Cache,
    pub(super) served: Option<(u64, u64)>,
}

pub(super) struct Proxy {
    pub(super) at: MemberId,
    /// The instance's run that the session belongs to.
    pub(super) run: u64,
    pub(super) session: Session,
    /// The version of clusters that it holds, and its index; the serial that it says.
    pub(super) held: (String, u64, u64),
    pub(super) draining: BTreeSet<String>,
}

impl World<'_> {
    pub(super) fn serve(&mut self) {
        let now = Duration::from_secs(self.now);
        for (member, serving) in &mut self.serving {
            let Some(state) = self.nodes.get(member).and_then(Node::state) else { continue };
            if serving.served == Some((state.epoch, state.served)) {
                continue;
            }
            serving.served = Some((state.epoch, state.served));
            let draining: Vec<String> = state
                .pools
                .get(POOL)
                .into_iter()
                .flat_map(|pool| &pool.endpoints)
                .filter(|(_, e)| e.draining)
                .map(|(uid, _)| uid.clone())
                .collect();
            let text = format!("serial {} draining {}", state.serial(), draining.join(","));
            serving.cache.begin_update(state.epoch, state.served);
            serving
                .cache
                .apply(now, [Change::Set(ResourceType::Cluster, "c".to_owned(), text.into_bytes().into())]);
            serving.cache.finish_update();
        }
        for n in 0..self.proxies.len() {
            self.poll(n, now);
        }
    }

    fn poll(&mut self, n: usize, now: Duration) {
        let proxy = &mut self.proxies[n];
        let (Some(serving), Some(run)) = (self.serving.get(&proxy.at), self.runs.get(&proxy.at).copied())
        else {
            return;
        };
        if !self.nodes.contains_key(&proxy.at) || self.stalled.contains_key(&proxy.at) {
            return;
        }
        let stream = (proxy.at << 32) | run;
        if proxy.run != stream {
            proxy.run = stream;
            proxy.subscribe(n, &serving.cache, now);
        }
        while let Ok(Some(response)) = proxy.session.poll(&serving.cache, now) {
            let told = Told::read(&response);
            let (was, before, at) = (proxy.held.0.clone(), proxy.held.2, proxy.at);
            let serial = told.serial;
            let back = proxy.is_older(&told);
            proxy.take(n, &response.version, told);
            let _ = proxy.session.request(&serving.cache, now, acknowledgement(&response));
            if back {
                let version = response.version;
                let why = format!(
                    "proxy {n} held {was} (serial {before}) and was told {version} (serial {serial}) by {at}"
                );
                self.breach(Rule::Back, why);
                return;
            }
        }
    }
}

impl Proxy {
    /// Begins a session, with what the proxy holds.
    fn subscribe(&mut self, n: usize, cache: &Cache, now: Duration) {
        let incremental = is_incremental(n);
        self.session = Session::new(format!("p{n}"), incremental, None, Limits::default());
        let mut request =
            Request { type_url: ResourceType::Cluster.url().to_owned(), ..Request::default() };
        match (incremental, self.held.0.is_empty()) {
            (_, true) => {}
            (true, false) => drop(request.initial_versions.insert("c".to_owned(), self.held.0.clone())),
            (false, false) => request.version = self.held.0.clone(),
        }
        let _ = self.session.request(cache, now, request); // a refusal shows as a proxy that is told nothing
    }

    fn is_older(&self, told: &Told) -> bool {
        let (_, index, serial) = self.held;
        told.index < index || told.serial < serial || !self.draining.is_subset(&told.draining)
    }

    fn take(&mut self, n: usize, version: &str, told: Told) {
        // As the incremental variant names it, or the whole.
        let held = match is_incremental(n) {
            true => format!("7.{}-0", told.index),
            false => version.to_owned(),
        };
        self.held = (held, told.index, told.serial);
        self.draining = told.draining;
    }
}

/// Every other proxy speaks the incremental variant.
fn is_incremental(n: usize) -> bool {
    n % 2 == 1
}

fn acknowledgement(response: &Response) -> Request {
    Request {
        type_url: ResourceType::Cluster.url().to_owned(),
        nonce: response.nonce.clone(),
        version: response.version.clone(),
        ..Request::default()
    }
}

/// What a response says.
struct Told {
    index: u64,
    serial: u64,
    draining: BTreeSet<String>,
}

impl Told {
    fn read(response: &Response) -> Self {
        let text: String =
            response.resources.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned()).collect();
        let index = response.version.split('.').nth(1);
        let index = index.and_then(|index| index.split('-').next()?.parse().ok());
        let draining = text.rsplit("draining ").next().into_iter().flat_map(|list| list.split(','));
        let draining = draining.map(|uid| uid.chars().take_while(char::is_ascii_alphanumeric).collect());
        Told {
            index: index.unwrap_or(0),
            serial: number_after(&text, "serial "),
            draining: draining.filter(|uid: &String| !uid.is_empty()).collect(),
        }
    }
}

fn number_after(text: &str, label: &str) -> u64 {
    let from = text.find(label).map_or(text.len(), |at| at + label.len());
    let digits: String = text[from..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
