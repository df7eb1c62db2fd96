//! A TCP proxy that can blackhole its connections, as a firewall does that loses their state.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Relay {
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    blackhole: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (blackhole, signal) = watch::channel(0);
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, to, signal.clone()));
            }
        });
        Ok(Self { address, blackhole, task })
    }

    /// Stops forwarding on all open connections without closing them. New connections work.
    pub fn blackhole_connections(&self) {
        self.blackhole.send_modify(|times| *times += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(mut client: TcpStream, to: SocketAddr, mut blackhole: watch::Receiver<u64>) {
    blackhole.mark_unchanged();
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => {}
        // Keeps both sockets open until the process ends.
        Ok(()) = blackhole.changed() => std::future::pending::<()>().await,
    }
}
