//! A TCP forwarder that counts bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Number of payload bytes of all connections of a forwarder, in both directions.
#[derive(Clone, Debug, Default)]
pub struct ByteCount(Arc<AtomicU64>);

impl ByteCount {
    /// Returns the number of bytes so far.
    #[must_use]
    pub fn read(&self) -> f64 {
        self.0.load(Ordering::Relaxed) as f64
    }
}

/// Starts to forward connections from one address to another, until the program ends.
pub async fn start_forwarder(listen: &str, target: &str) -> ByteCount {
    let listener = TcpListener::bind(listen).await.expect("the loopback address is free");
    let target: SocketAddr = target.parse().expect("the target is an address");
    let count = ByteCount::default();
    let total = count.clone();
    actix_rt::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let count = count.clone();
            actix_rt::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (client_in, client_out) = client.into_split();
                let (server_in, server_out) = server.into_split();
                actix_rt::spawn(copy_bytes(client_in, server_out, count.clone()));
                copy_bytes(server_in, client_out, count).await;
            });
        }
    });
    total
}

async fn copy_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: ByteCount) {
    let mut buffer = vec![0; 65_536];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count.0.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
