//! The part of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Message {
    /// First line of the head.
    pub first: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a stream; bytes behind a message stay for the next one.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16384];
        let read = self.stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(())
    }

    fn find(&self, what: &[u8], from: usize) -> Option<usize> {
        let rest = self.buf.get(from..)?;
        let at = rest.windows(what.len()).position(|bytes| bytes == what)?;
        Some(from + at)
    }

    /// The next message with its body, by length or in chunks. A response without either is read to the end of the
    /// connection if `is_response`.
    pub fn message(&mut self, is_response: bool) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.find(b"\r\n\r\n", 0) {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut message = Message {
            first: head.lines().next().unwrap_or_default().to_owned(),
            head,
            body: Vec::new(),
        };
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let line = loop {
                    if let Some(line) = self.find(b"\r\n", 0) {
                        break line;
                    }
                    self.fill()?;
                };
                let size = String::from_utf8_lossy(&self.buf[..line]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                while self.buf.len() < line + 2 + size + 2 {
                    self.fill()?;
                }
                message
                    .body
                    .extend_from_slice(&self.buf[line + 2..line + 2 + size]);
                self.buf.drain(..line + 2 + size + 2);
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").map(|value| value.parse());
        match length {
            Some(Ok(length)) => {
                while self.buf.len() < length {
                    self.fill()?;
                }
                message.body = self.buf.drain(..length).collect();
            }
            _ if is_response => {
                while self.fill().is_ok() {}
                message.body = std::mem::take(&mut self.buf);
            }
            _ => {}
        }
        Ok(message)
    }
}

/// Sends a request over a new connection; returns the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut reader = Reader::new(stream);
    reader.stream.write_all(request.as_bytes())?;
    reader.message(true)
}

/// Listens on a free port of the loopback interface.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}
