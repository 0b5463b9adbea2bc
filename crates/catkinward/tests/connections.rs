//! Callers that keep connections open without sending complete requests.

use catkinward::http_server::Listener;
use googletest::prelude::*;
use std::net::SocketAddr;
use tokio::{io::AsyncWriteExt, net::TcpStream};
use volo::net::{MakeIncoming, incoming::Incoming};

async fn listener() -> (Listener, SocketAddr) {
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("a free port");
    let address = listener.address().expect("an address");
    (listener, address)
}

/// Callers connect and send nothing, or only the beginning of a request. Guards against a listener
/// that waits for them instead of accepting others, or passes their connections to the server.
#[gtest]
#[tokio::test]
async fn idle_and_slow_callers_do_not_block_others() {
    let (listener, address) = listener().await;
    let mut incoming = listener
        .make_incoming()
        .await
        .expect("the listener is open");
    let mut idle = Vec::new();
    for sent in ["", "GET / HT", "GET / HTTP/1.1\r\nhost: a\r\n"] {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(sent.as_bytes()).await.expect("sent");
        idle.push(stream);
    }
    let mut complete = TcpStream::connect(address).await.expect("a connection");
    complete
        .write_all(b"GET / HTTP/1.1\r\n")
        .await
        .expect("sent");
    complete.write_all(b"host: a\r\n\r\n").await.expect("sent");

    let accepted = incoming
        .accept()
        .await
        .expect("accepted")
        .expect("a connection");

    let peer = accepted.info.peer_addr.expect("a peer").to_string();
    let expected = complete.local_addr().expect("an address").to_string();
    expect_that!(peer, contains_substring(expected.as_str()));
}
