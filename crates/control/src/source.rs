//! Watches discovery for each pool, on a separate thread.

use runtrack_discovery::{Client, ClientCommand, Update, WatchMode};
use runtrack_net::Tcp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};

/// An update from a pool's discovery server.
pub struct SourceUpdate {
    /// The pool.
    pub pool: String,
    /// The address of the server.
    pub from: SocketAddr,
    /// The update.
    pub update: Update,
}

/// Pools with the addresses of their discovery servers. A pool has two during a roll-out that changes its address.
pub type Sources = BTreeSet<(String, SocketAddr)>;

/// Sends the set of sources to follow; the others are dropped.
pub type SourcesSender = mpsc::UnboundedSender<Sources>;

/// Starts the thread. It ends when the returned sender is dropped.
pub fn spawn(seed: u64, updates: mpsc::UnboundedSender<SourceUpdate>) -> std::io::Result<SourcesSender> {
    let (sources, mut source_receiver) = mpsc::unbounded_channel::<Sources>();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("sources".to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            let mut followed: BTreeMap<(String, SocketAddr), JoinSet<()>> = BTreeMap::new();
            while let Some(sources) = source_receiver.recv().await {
                followed.retain(|source, _| sources.contains(source));
                for (pool, address) in sources {
                    let follow = || follow_source(pool.clone(), address, seed, updates.clone());
                    followed.entry((pool.clone(), address)).or_insert_with(follow);
                }
            }
        });
    })?;
    Ok(sources)
}

/// Follows one source until the returned set is dropped.
fn follow_source(
    pool: String,
    from: SocketAddr,
    seed: u64,
    updates: mpsc::UnboundedSender<SourceUpdate>,
) -> JoinSet<()> {
    let client = Client::new(
        Rc::new(Tcp),
        from,
        WatchMode::Persistent,
        seed ^ u64::from(from.port()),
        move |update| {
            let _ = updates.send(SourceUpdate { pool: pool.clone(), from, update }); // fails only at exit
        },
    );
    // The server may have restarted since the list was saved, and its versions then don't compare.
    client.request_full_list();
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let (_command_sender, commands) = mpsc::unbounded_channel::<ClientCommand>();
        client.run(commands).await;
    });
    task
}
