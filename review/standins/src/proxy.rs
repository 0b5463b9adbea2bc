//! Proxy of one path, which can be cut: then it refuses connections and resets the open ones.

use crate::socket::reset;
use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            cut: Arc::default(),
            open: Arc::default(),
        };
        let (cut, open) = (proxy.cut.clone(), proxy.open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if cut.load(Ordering::SeqCst) {
                    // Closes the listener, so that connections are refused.
                    return;
                }
                let Ok(to) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), to.set_nodelay(true));
                for end in [&stream, &to] {
                    open.lock().unwrap().extend(end.try_clone());
                }
                for (from, to) in [(&stream, &to), (&to, &stream)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    thread::spawn(move || {
                        let _ = match io::copy(&mut from, &mut to) {
                            Ok(_) => to.shutdown(Shutdown::Write),
                            Err(_) => reset(&to),
                        };
                    });
                }
            }
        });
        Ok(proxy)
    }

    /// Cuts the path for good.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for end in self.open.lock().unwrap().drain(..) {
            let _ = reset(&end);
        }
    }
}
