//! Proxies that hold xDS sessions with members and move between them.

use super::*;

/// The cache from which an instance serves proxies.
pub(super) struct Serving {
    pub(super) cache: Cache,
    pub(super) served: Option<(u64, u64)>,
}

pub(super) struct Proxy {
    pub(super) at: MemberId,
    /// The member and its number of starts that the session belongs to.
    pub(super) run: u64,
    pub(super) session: Session,
    /// Version of the clusters that it holds, with the index and the serial of that version.
    pub(super) held: (String, u64, u64),
    pub(super) draining: BTreeSet<String>,
}

impl World<'_> {
    pub(super) fn serve_proxies(&mut self) {
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
            self.poll_proxy(n, now);
        }
    }

    fn poll_proxy(&mut self, n: usize, now: Duration) {
        let proxy = &mut self.proxies[n];
        let (Some(serving), Some(run)) =
            (self.serving.get(&proxy.at), self.start_counts.get(&proxy.at).copied())
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
            let served_state = ServedState::parse(&response);
            let (held_version, held_serial, at) = (proxy.held.0.clone(), proxy.held.2, proxy.at);
            let serial = served_state.serial;
            let is_older = proxy.is_older(&served_state);
            proxy.record(n, &response.version, served_state);
            let _ = proxy.session.request(&serving.cache, now, acknowledgement(&response));
            if is_older {
                let version = response.version;
                let detail = format!(
                    "proxy {n} held {held_version} (serial {held_serial}) and was sent {version} (serial {serial}) by {at}"
                );
                self.report_violation(Rule::Back, detail);
                return;
            }
        }
    }
}

impl Proxy {
    /// Starts a session, with the versions that the proxy holds.
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
        let _ = self.session.request(cache, now, request); // a refused request shows as a proxy without updates
    }

    fn is_older(&self, served_state: &ServedState) -> bool {
        let (_, index, serial) = self.held;
        served_state.index < index
            || served_state.serial < serial
            || !self.draining.is_subset(&served_state.draining)
    }

    fn record(&mut self, n: usize, version: &str, served_state: ServedState) {
        // Resource version of the incremental variant, or the version of the response.
        let held = match is_incremental(n) {
            true => format!("7.{}-0", served_state.index),
            false => version.to_owned(),
        };
        self.held = (held, served_state.index, served_state.serial);
        self.draining = served_state.draining;
    }
}

/// Every other proxy uses the incremental variant of xDS.
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

/// The content of a response.
struct ServedState {
    index: u64,
    serial: u64,
    draining: BTreeSet<String>,
}

impl ServedState {
    fn parse(response: &Response) -> Self {
        let text: String =
            response.resources.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned()).collect();
        let index = response.version.split('.').nth(1);
        let index = index.and_then(|index| index.split('-').next()?.parse().ok());
        let draining = text.rsplit("draining ").next().into_iter().flat_map(|list| list.split(','));
        let draining = draining.map(|uid| uid.chars().take_while(char::is_ascii_alphanumeric).collect());
        ServedState {
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
