//! Proxies: by whom they are served.

use super::{FINDS, ProxyAt, World, at};
use crate::history::Did;
use crate::link::locked;
use runtrack_testkit::{Proxy, ProxyConfig, free_port};
use std::io;
use tokio::sync::watch;
use tokio::time::sleep;

impl World {
    pub(super) async fn add_proxy(&self, n: u32) -> io::Result<()> {
        let at_instance = (n % self.script.instances) as usize;
        let xds = locked(&self.instances)[at_instance].xds;
        let (target, receiver) = watch::channel(xds);
        let (id, from) = (format!("p{n}"), at(50 + n as u8, free_port()));
        let link = self.links.lead(&id, "xds", from, receiver).await?;
        let to =
            ProxyConfig { control: from, id: id.clone(), zone: String::new(), incremental: n % 2 == 1 };
        self.history.now_that(&id, Did::Fault { what: format!("served by {at_instance}") });
        locked(&self.proxies).push(ProxyAt {
            target,
            at: at_instance,
            proxy: Proxy::start(to),
            _link: link,
        });
        Ok(())
    }

    /// A proxy goes over to another instance.
    pub(super) fn lead(&self, proxy: usize, to: usize) {
        let xds = locked(&self.instances)[to].xds;
        let mut proxies = locked(&self.proxies);
        let Some(proxy_at) = proxies.get_mut(proxy) else { return };
        if proxy_at.at != to {
            proxy_at.at = to;
            self.history.now_that(&format!("p{proxy}"), Did::Fault { what: format!("served by {to}") });
        }
        proxy_at.target.send_replace(xds);
    }

    /// Proxies of an instance that ended find another one that runs.
    pub(super) async fn flee(&self, place: usize) {
        sleep(FINDS).await;
        let running = {
            let mut instances = locked(&self.instances);
            (0..instances.len())
                .filter(|n| instances[*n].process.pid().is_some() && !instances[*n].process.has_ended())
                .collect::<Vec<_>>()
        };
        let theirs: Vec<usize> = locked(&self.proxies)
            .iter()
            .enumerate()
            .filter(|(_, p)| p.at == place)
            .map(|(n, _)| n)
            .collect();
        for (n, proxy) in theirs.into_iter().enumerate() {
            if let Some(to) = running.get(n % running.len().max(1)) {
                self.lead(proxy, *to);
            }
        }
    }
}
