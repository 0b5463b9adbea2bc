//! Stand-in of the platform's store: versioned rows in tables, with full reads and feeds of changes.

use crate::http::{Connection, Message};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// JSON; `None` after the removal of the row.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// The latest write of each row, in the order of versions.
    rows: Vec<Row>,
}

/// Rewrites addresses in the rows that one machine reads, so that its paths lead through a proxy.
pub type Rewrite = Vec<(SocketAddr, SocketAddr)>;

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Writes or removes a row.
    pub fn put(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let row = Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version: rows.version,
        };
        rows.rows
            .retain(|r| r.table != row.table || r.key != row.key);
        rows.rows.push(row);
        changed.notify_all();
    }

    /// Serves one machine; returns the address at which it reaches the store.
    pub fn serve(&self, rewrite: Rewrite) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, rewrite) = (store.clone(), rewrite.clone());
                thread::spawn(move || store.serve_connection(Connection::new(stream), &rewrite));
            }
        });
        address
    }

    fn serve_connection(&self, mut connection: Connection, rewrite: &Rewrite) {
        while let Ok(Some(req)) = connection.request() {
            // A millisecond or two to the store and as much for its work.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&req, rewrite);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection
                .stream
                .write_all((head + &body).as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, req: &Message, rewrite: &Rewrite) -> (&'static str, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let table = field("table").unwrap_or_default();
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/v1/rows-get" => {
                let from = field("from").unwrap_or_default().replace("%00", "\0");
                let limit = number("limit").unwrap_or(500).min(500);
                ("200 OK", self.get(&table, &from, limit, rewrite))
            }
            "/v1/rows-feed" => {
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
                let after = number("after").unwrap_or(0);
                ("200 OK", self.feed(&table, after, wait, rewrite))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn get(&self, table: &str, from: &str, limit: u64, rewrite: &Rewrite) -> String {
        let rows = self.rows.0.lock().unwrap();
        let mut found = rows
            .rows
            .iter()
            .filter(|row| row.table == table && row.value.is_some() && *row.key >= *from)
            .cloned()
            .collect::<Vec<_>>();
        found.sort_by(|a, b| a.key.cmp(&b.key));
        let limit = usize::try_from(limit).unwrap();
        let more = found.len() > limit;
        found.truncate(limit);
        self.answer(&found, more, rows.version, rewrite)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration, rewrite: &Rewrite) -> String {
        let (rows, changed) = &*self.rows;
        let has_none = |rows: &mut Rows| {
            !rows
                .rows
                .iter()
                .any(|row| row.table == table && row.version > after)
        };
        let rows = rows.lock().unwrap();
        let (rows, _) = changed.wait_timeout_while(rows, wait, has_none).unwrap();
        let found = rows
            .rows
            .iter()
            .filter(|row| row.table == table && row.version > after)
            .cloned()
            .collect::<Vec<_>>();
        self.answer(&found, false, rows.version, rewrite)
    }

    fn answer(&self, rows: &[Row], more: bool, version: u64, rewrite: &Rewrite) -> String {
        let rows = rows.iter().map(|row| {
            let (table, key, version) = (&row.table, &row.key, row.version);
            let content = match &row.value {
                Some(value) => format!("\"value\":\"{}\"", base64(rewritten(value, rewrite).as_bytes())),
                None => "\"tombstone\":true".to_owned(),
            };
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"record-version\":{version},{content}}}"
            )
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        let now = self.start.elapsed().as_millis();
        format!(
            "{{\"rows\":[{rows}],\"has-more\":{more},\"record-version\":{version},\"now-ms\":{now}}}"
        )
    }
}

fn rewritten(value: &str, rewrite: &Rewrite) -> String {
    rewrite.iter().fold(value.to_owned(), |text, (from, to)| {
        text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
    })
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().enumerate();
        let bits = bits.fold(0_u32, |bits, (i, byte)| {
            bits | u32::from(*byte) << (16 - 8 * i)
        });
        for i in 0..4 {
            if i <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * i)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
