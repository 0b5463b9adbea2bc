//! Minimal HTTP/1.1: reads requests and responses from a TCP stream.

use std::{
    io::{self, Read},
    net::TcpStream,
};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A response, and whether it ended as its framing says.
#[derive(Debug)]
pub struct Response {
    pub message: Message,
    pub complete: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    fn fill_some(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads a head; `None` if the connection closes before one begins.
    fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message {
            start,
            headers,
            body: Vec::new(),
        }))
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill_some()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill_some()?;
        }
    }

    /// Reads chunks into `body` up to the last one.
    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let data = self.take(size + 2)?;
            body.extend_from_slice(&data[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        if message.is_chunked() {
            let mut body = Vec::new();
            self.chunks(&mut body)?;
            message.body = body;
        } else {
            message.body = self.take(message.length().unwrap_or(0))?;
        }
        Ok(Some(message))
    }

    /// Reads a response. One that is cut short is returned with what has arrived.
    pub fn response(&mut self) -> io::Result<Response> {
        let Some(mut message) = self.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let complete = if message.is_chunked() {
            let mut body = Vec::new();
            let read = self.chunks(&mut body);
            message.body = body;
            read.is_ok()
        } else if let Some(length) = message.length() {
            while self.buf.len() < length {
                if !matches!(self.fill(), Ok(1..)) {
                    break;
                }
            }
            let length = length.min(self.buf.len());
            let complete = message.length() == Some(length);
            message.body = self.buf.drain(..length).collect();
            complete
        } else {
            let end = loop {
                match self.fill() {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(_) => break false,
                }
            };
            message.body = std::mem::take(&mut self.buf);
            end
        };
        Ok(Response { message, complete })
    }
}
