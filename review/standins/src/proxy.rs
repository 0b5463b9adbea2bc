//! Proxy of one path, which can be cut and healed. While it is cut, new connections are refused and the open ones are
//! reset.

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
    target: SocketAddr,
    cut: Mutex<Arc<AtomicBool>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            target,
            cut: Mutex::default(),
            open: Arc::default(),
        };
        proxy.serve(listener);
        Ok(proxy)
    }

    fn serve(&self, listener: TcpListener) {
        let cut = Arc::<AtomicBool>::default();
        *self.cut.lock().unwrap() = cut.clone();
        let (target, open) = (self.target, self.open.clone());
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
                        // A reset of one end resets the other.
                        let _ = match io::copy(&mut from, &mut to) {
                            Ok(_) => to.shutdown(Shutdown::Write),
                            Err(_) => reset(&to),
                        };
                    });
                }
            }
        });
    }

    pub fn cut(&self) {
        self.cut.lock().unwrap().store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for end in self.open.lock().unwrap().drain(..) {
            let _ = reset(&end);
        }
    }

    pub fn heal(&self) -> io::Result<()> {
        self.serve(TcpListener::bind(self.address)?);
        Ok(())
    }
}
