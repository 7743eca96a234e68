//! Simulated proxies and the instances that serve them.

use super::{ConnectedProxy, PROXY_FAILOVER_DELAY, Round, at};
use crate::history::EventKind;
use crate::link::locked;
use runtrack_testkit::{Proxy, ProxyConfig, free_port};
use std::io;
use tokio::sync::watch;
use tokio::time::sleep;

impl Round {
    pub(super) async fn add_proxy(&self, n: u32) -> io::Result<()> {
        let at_instance = (n % self.script.instances) as usize;
        let xds = locked(&self.instances)[at_instance].xds;
        let (target, receiver) = watch::channel(xds);
        let (id, from) = (format!("p{n}"), at(50 + n as u8, free_port()));
        let link = self.links.intercept_routed(&id, "xds", from, receiver).await?;
        let to =
            ProxyConfig { control: from, id: id.clone(), zone: String::new(), incremental: n % 2 == 1 };
        self.history.record_now(&id, EventKind::Fault { what: format!("served by {at_instance}") });
        locked(&self.proxies).push(ConnectedProxy {
            target,
            at: at_instance,
            proxy: Proxy::start(to),
            _link: link,
        });
        Ok(())
    }

    /// Connects a proxy to another instance.
    pub(super) fn move_proxy(&self, proxy: usize, to: usize) {
        let xds = locked(&self.instances)[to].xds;
        let mut proxies = locked(&self.proxies);
        let Some(connected) = proxies.get_mut(proxy) else { return };
        if connected.at != to {
            connected.at = to;
            self.history
                .record_now(&format!("p{proxy}"), EventKind::Fault { what: format!("served by {to}") });
        }
        connected.target.send_replace(xds);
    }

    /// Connects the proxies of a stopped instance to running ones.
    pub(super) async fn move_proxies_from(&self, index: usize) {
        sleep(PROXY_FAILOVER_DELAY).await;
        let running = {
            let mut instances = locked(&self.instances);
            (0..instances.len())
                .filter(|n| instances[*n].process.pid().is_some() && !instances[*n].process.has_exited())
                .collect::<Vec<_>>()
        };
        let theirs: Vec<usize> = locked(&self.proxies)
            .iter()
            .enumerate()
            .filter(|(_, p)| p.at == index)
            .map(|(n, _)| n)
            .collect();
        for (n, proxy) in theirs.into_iter().enumerate() {
            if let Some(to) = running.get(n % running.len().max(1)) {
                self.move_proxy(proxy, *to);
            }
        }
    }
}
