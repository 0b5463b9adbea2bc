//! Requests of callers.

use crate::http::{Connection, Response};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Key that the manifest holds.
const KEY: &str = "key-1";

/// A request of a caller with a key, whose deadline is in `deadline_ms`.
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    more: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nCredential: {KEY}\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n{more}\r\n{body}",
        body.len()
    )
}

/// Sends a request over a new connection and reads the response.
pub fn send(router: SocketAddr, request: &str, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    Connection::new(stream).response()
}

/// Words for a result, for the record.
pub fn outcome(result: &io::Result<Response>) -> String {
    match result {
        Ok(Response { message, complete }) => {
            let ending = if *complete { "complete" } else { "CUT SHORT" };
            let seal = message.header("response-seal").unwrap_or("none");
            format!(
                "{}, seal {seal}, {} bytes, {ending}",
                message.status(),
                message.body.len()
            )
        }
        Err(error) => format!("no answer ({error})"),
    }
}

/// A manifest: model requests to `engines`, calls to `plain`.
pub fn manifest() -> String {
    let route = |prefix: &str,
                 kind: &str,
                 service: &str,
                 timeout: u32,
                 attempts: u32,
                 more: &str| {
        format!(
            "{{\"name\":\"r-{kind}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"route-type\":\"{kind}\",\
             \"timeout-ms\":{timeout},\"target-latency-ms\":4500,\"priority\":1,\"service\":\"{service}\",\
             \"max-attempts\":{attempts},\"public\":false{more}}}"
        )
    };
    let routes = [
        route(
            "/stream/",
            "streaming",
            "engines",
            25000,
            5,
            ",\"sticky-sessions\":true,\"resumable\":true,\"gap-target-ms\":700",
        ),
        route("/once/", "non_idempotent", "plain", 25000, 1, ""),
        route("/quick/", "idempotent", "plain", 25000, 2, ""),
    ]
    .join(",");
    format!(
        "{{\"version\":7,\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"engines\",\"health-path\":\"/health\",\"max-connections\":620,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":32,\"kv-capacity\":88000,\"kv-token-bytes\":35136,\"link-mbps\":280000.0,\"moves\":false,\
         \"backups\":false,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":4.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"plain\",\"health-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
