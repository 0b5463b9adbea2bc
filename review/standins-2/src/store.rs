//! Stand-in of the platform's store: rows with versions, changes, and transactions with preconditions.

use crate::http::{Message, Reader, listen};
use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: Vec<Row>,
    version: u64,
}

/// What happens to a transaction.
pub enum Fate {
    Answer,
    /// It gets no answer and is done this much later, if its condition still holds then.
    Late(Duration),
}

type Judge = Box<dyn Fn(&Value) -> Fate + Send + Sync>;
type Watch = Box<dyn Fn(&Value, bool, bool) + Send + Sync>;

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    judge: Judge,
    watch: Watch,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store. `judge` decides what happens to a transaction, and `watch` is told of each that is applied or
    /// refused: the transaction, whether it was applied, and whether it was late.
    pub fn start(
        judge: impl Fn(&Value) -> Fate + Send + Sync + 'static,
        watch: impl Fn(&Value, bool, bool) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (listener, address) = listen();
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            judge: Box::new(judge),
            watch: Box::new(watch),
            address,
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes a row.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| BASE64_STANDARD.encode(value.to_string()));
        rows.set(table, key, value, version);
        drop(rows);
        self.changed.notify_all();
    }

    /// Value of a row as JSON.
    pub fn value(&self, table: &str, key: &str) -> Option<Value> {
        let rows = self.rows.lock().unwrap();
        let row = rows
            .rows
            .iter()
            .find(|r| r.table == table && r.key == key)?;
        let bytes = BASE64_STANDARD.decode(row.value.as_ref()?).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message(false) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = if request.method() == "POST" {
                let change: Value = match serde_json::from_slice(&request.body) {
                    Ok(change) => change,
                    Err(_) => return,
                };
                match (self.judge)(&change) {
                    Fate::Answer => self.transact(&change, false),
                    Fate::Late(delay) => {
                        let store = self.clone();
                        thread::spawn(move || {
                            thread::sleep(delay);
                            store.transact(&change, true);
                        });
                        // A channel on which a response is lost delivers nothing further.
                        let mut rest = reader;
                        while rest.message(false).is_ok() {}
                        return;
                    }
                }
            } else {
                self.read(&request)
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if reader.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn transact(&self, change: &Value, late: bool) -> (&'static str, String) {
        let list = |field: &str| change[field].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, field: &str| row[field].as_str().unwrap_or_default().to_owned();
        let mut rows = self.rows.lock().unwrap();
        let holds = list("precondition").iter().all(|row| {
            let found = rows.find(&text(row, "table"), &text(row, "key"));
            row["record-version"].as_u64() == Some(found.map_or(0, |row| row.version))
        });
        if holds {
            rows.version += 1;
            let version = rows.version;
            for row in list("writes") {
                let value = Some(text(&row, "value"));
                rows.set(&text(&row, "table"), &text(&row, "key"), value, version);
            }
            for row in list("remove") {
                rows.set(&text(&row, "table"), &text(&row, "key"), None, version);
            }
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        (self.watch)(change, holds, late);
        if holds {
            let body = json!({"record-version": version, "now-ms": self.now_ms()});
            ("200 OK", body.to_string())
        } else {
            let body = json!({"rows": [], "record-version": version, "now-ms": self.now_ms()});
            ("412 Precondition Failed", body.to_string())
        }
    }

    fn read(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or_default();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = fields.find(|(key, _)| *key == name)?.1;
            Some(decode(value))
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let table = field("table").unwrap_or_default();
        let mut rows = self.rows.lock().unwrap();
        let (mut found, more) = match path {
            "/v1/rows-get" => {
                let from = field("from").unwrap_or_default();
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                let mut found = rows.of(&table);
                found.retain(|row| row.value.is_some() && row.key >= from);
                found.sort_by(|a, b| a.key.cmp(&b.key));
                let more = found.len() > limit;
                found.truncate(limit);
                (found, more)
            }
            "/v1/rows-feed" => {
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
                loop {
                    let mut found = rows.of(&table);
                    found.retain(|row| row.version > after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        found.sort_by_key(|row| row.version);
                        break (found, false);
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => return ("404 Not Found", String::new()),
        };
        let json_row = |row: Row| {
            json!({
                "table": row.table, "part": "", "key": row.key, "value": row.value.clone().unwrap_or_default(),
                "record-version": row.version, "tombstone": row.value.is_none(),
            })
        };
        let body = json!({
            "rows": found.drain(..).map(json_row).collect::<Vec<_>>(),
            "record-version": rows.version, "now-ms": self.now_ms(), "has-more": more,
        });
        ("200 OK", body.to_string())
    }
}

impl Rows {
    fn find(&self, table: &str, key: &str) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|row| row.table == table && row.key == key && row.value.is_some())
    }

    fn of(&self, table: &str) -> Vec<Row> {
        let rows = self.rows.iter().filter(|row| row.table == table);
        rows.cloned().collect()
    }

    fn set(&mut self, table: &str, key: &str, value: Option<String>, version: u64) {
        self.rows.retain(|row| row.table != table || row.key != key);
        self.rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version,
        });
    }
}

/// Value of a row of a transaction, decoded.
pub fn written(change: &Value, table: &str) -> Option<Value> {
    let writes = change["writes"].as_array()?;
    let row = writes.iter().find(|row| row["table"] == table)?;
    let bytes = BASE64_STANDARD.decode(row["value"].as_str()?).ok()?;
    serde_json::from_slice(&bytes).ok()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
