//! Follows the platform's discovery for each pool, on a thread of its own.

use runtrack_discovery::{Client, ClientCommand, Update, WatchMode};
use runtrack_net::Tcp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};

/// What a source told: the pool, where it asked, and the news.
pub struct SourceUpdate {
    /// The pool.
    pub pool: String,
    /// Where.
    pub from: SocketAddr,
    /// What.
    pub update: Update,
}

/// Sources: a pool may have two, while a version is rolled out that takes it from elsewhere.
pub type Sources = BTreeSet<(String, SocketAddr)>;

/// Names the sources to follow; what is no longer named is let go.
pub type SourcesSender = mpsc::UnboundedSender<Sources>;

/// Starts the thread. It ends with the sender that is returned.
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

/// Follows one source for as long as the set that is returned is held.
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
            let _ = updates.send(SourceUpdate { pool: pool.clone(), from, update }); // fails only while the process ends
        },
    );
    // Versions of a server that may have been started anew don't compare with those held.
    client.request_full_list();
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let (_command_sender, commands) = mpsc::unbounded_channel::<ClientCommand>();
        client.run(commands).await;
    });
    task
}
