//! Calls that request a new connection each.

use catkinward::http_client::{Connections, HttpCall};
use googletest::prelude::*;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a server that keeps its connections open. Returns its address and the maximum number of
/// requests received on one connection.
async fn server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let max_requests = Arc::new(AtomicUsize::new(0));
    let counter = max_requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_to_all(stream, counter.clone()));
        }
    });
    (address, max_requests)
}

async fn respond_to_all(mut stream: TcpStream, max_requests: Arc<AtomicUsize>) {
    let mut buf = vec![0; 4096];
    for requests in 1.. {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
        max_requests.fetch_max(requests, Ordering::Relaxed);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}

/// Calls run concurrently, and one ends while another waits for its connection. The HTTP library
/// would reuse the first one's connection, even with a pool that retains none. That connection may
/// be dead without an error, and an order sent on it would be lost unnoticed.
#[gtest]
#[tokio::test]
async fn fresh_calls_do_not_reuse_connections() {
    let (address, max_requests) = server().await;
    let connections = Connections::new().expect("a client");
    let calls = |_| async {
        for _ in 0..25 {
            let call = HttpCall {
                address,
                new_connection: true,
                ..HttpCall::default()
            };
            connections.call_complete(call).await.expect("a response");
        }
    };

    futures::future::join_all((0..8).map(calls)).await;

    expect_that!(max_requests.load(Ordering::Relaxed), eq(1));
}
