//! A stand-in for what stands between two ends of a connection, and may lose track of it.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Passes connections on to one address.
#[derive(Debug)]
pub struct Relay {
    /// Where it takes connections.
    pub address: SocketAddr,
    lost: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (lost, seen) = watch::channel(0);
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass_on(near, to, seen.clone()));
            }
        });
        Ok(Self { address, lost, task })
    }

    /// Loses track of all open connections: they stay open and nothing passes them any more. New
    /// ones work.
    pub fn blackhole_connections(&self) {
        self.lost.send_modify(|times| *times += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass_on(mut near: TcpStream, to: SocketAddr, mut lost: watch::Receiver<u64>) {
    lost.mark_unchanged();
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        // Both sockets stay open until the process ends.
        Ok(()) = lost.changed() => std::future::pending::<()>().await,
    }
}
