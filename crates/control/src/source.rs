//! Follows the platform's discovery for each pool, on a thread of its own.

use runtrack_discovery::{Client, ClientCommand, Update, WatchMode};
use runtrack_net::Tcp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};

/// What a source told: the pool, where it asked, and the news.
pub struct News {
    /// The pool.
    pub pool: String,
    /// Where.
    pub from: SocketAddr,
    /// What.
    pub told: Update,
}

/// Sources: a pool may have two, while a version is rolled out that takes it from elsewhere.
pub type Sources = BTreeSet<(String, SocketAddr)>;

/// Names the sources to follow; what is no longer named is let go.
pub type Wanted = mpsc::UnboundedSender<Sources>;

/// Starts the thread. It ends with the sender that is returned.
pub fn follow(seed: u64, news: mpsc::UnboundedSender<News>) -> std::io::Result<Wanted> {
    let (wanted, mut wants) = mpsc::unbounded_channel::<Sources>();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("sources".to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            let mut followed: BTreeMap<(String, SocketAddr), JoinSet<()>> = BTreeMap::new();
            while let Some(wanted) = wants.recv().await {
                followed.retain(|source, _| wanted.contains(source));
                for (pool, address) in wanted {
                    let start = || one(pool.clone(), address, seed, news.clone());
                    followed.entry((pool.clone(), address)).or_insert_with(start);
                }
            }
        });
    })?;
    Ok(wanted)
}

/// Follows one source for as long as the set that is returned is held.
fn one(pool: String, from: SocketAddr, seed: u64, news: mpsc::UnboundedSender<News>) -> JoinSet<()> {
    let client = Client::new(
        Rc::new(Tcp),
        from,
        WatchMode::Persistent,
        seed ^ u64::from(from.port()),
        move |told| {
            let _ = news.send(News { pool: pool.clone(), from, told }); // fails only while the process ends
        },
    );
    // Versions of a server that may have been started anew don't compare with those held.
    client.request_full_list();
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let (_calls, asked) = mpsc::unbounded_channel::<ClientCommand>();
        client.run(asked).await;
    });
    task
}
