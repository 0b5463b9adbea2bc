//! Callers read their answers slowly while the machine that serves them is stopped with SIGTERM.

use crate::{
    caller,
    record::Record,
    router::{COBALT_TT, GRACE, Place, Router, free_addresses},
    socket,
    store::Store,
    worker::{Handler, Spec, Worker, record_run, write_sealed},
};
use std::{
    io::{Read, Write},
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// Size of an answer, and the bytes that a caller reads in a second: it needs five seconds.
const ANSWER_BYTES: usize = 600_000;
const BYTES_PER_SECOND: usize = 120_000;

/// Bytes that a caller reads at a time.
const READ_BYTES: usize = 1000;

/// Number of callers, and the time from their requests to the signal.
const CALLERS: u32 = 6;
const TERM_AFTER: Duration = Duration::from_millis(400);

/// Deadline of a caller.
const DEADLINE: Duration = Duration::from_secs(20);

/// Returns how many answers were cut short.
pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<u64, String> {
    let store = Store::new();
    store.put("op", "config", Some(caller::manifest()));
    let mut workers = Vec::new();
    for (n, zone) in ZONES.iter().enumerate() {
        let id = format!("plain-{n}");
        let spec = Spec {
            id: id.clone(),
            service: "plain",
            zone,
            slots: 6,
            engine: false,
        };
        let handler_record = record.clone();
        let handler: Handler = Arc::new(move |req, stream| {
            record_run(&handler_record, &id, "plain", req);
            thread::sleep(Duration::from_millis(15));
            let sent = write_sealed(stream, req, &vec![b'x'; ANSWER_BYTES]);
            handler_record.line(format!(
                "{id} has sent its whole answer to {}",
                req.header("attempt-id").unwrap_or("-")
            ));
            sent
        });
        let address = "127.0.0.1:0".parse().unwrap();
        workers.push(
            Worker::start(spec, address, &store, record, handler).map_err(|e| e.to_string())?,
        );
    }
    let place = Place {
        root,
        folder,
        bounds: COBALT_TT,
    };
    let ips = free_addresses(3);
    let mut routers = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        routers.push(Router::start(
            &place,
            &format!("vm-{n}"),
            ZONES[n],
            *ip,
            &ips,
            store.serve(Vec::new()),
        ));
    }
    for router in &routers {
        if !router.wait_until_ready() {
            return Err(format!("{} is not ready in time", router.name));
        }
    }
    // Longer than `stable-window-ms` after the start.
    thread::sleep(Duration::from_secs(5));

    let cut = Arc::new(AtomicU64::new(0));
    let address = routers[0].callers();
    let callers = (0..CALLERS).map(|n| {
        let (record, cut) = (record.clone(), cut.clone());
        thread::spawn(move || call(address, &format!("try-{n}"), &record, &cut))
    });
    let callers = callers.collect::<Vec<_>>();
    thread::sleep(TERM_AFTER);
    if trouble {
        routers[0].terminate();
        record.line("SIGTERM to vm-0");
        let signalled = Instant::now();
        let ended = routers[0].wait_for_exit(GRACE + Duration::from_secs(1));
        let took = signalled.elapsed().as_secs_f64();
        record.line(format!(
            "vm-0 {} {took:.2} s after SIGTERM",
            if ended {
                "has exited by itself"
            } else {
                "still runs"
            }
        ));
    }
    for caller in callers {
        let _ = caller.join();
    }
    Ok(cut.load(Ordering::SeqCst))
}

fn call(router: SocketAddr, attempt: &str, record: &Record, cut: &AtomicU64) {
    let began = Instant::now();
    record.line(format!("caller of {attempt} sends POST /once/1"));
    let millis = u64::try_from(DEADLINE.as_millis()).unwrap();
    let request = caller::request("POST", "/once/1", attempt, millis, "", attempt);
    let Ok(mut stream) = socket::connect_like_ethernet(router) else {
        record.line(format!("caller of {attempt} cannot connect"));
        return;
    };
    let _ = stream.set_read_timeout(Some(DEADLINE));
    if stream.write_all(request.as_bytes()).is_err() {
        return;
    }
    let mut received = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    let ending = loop {
        match stream.read(&mut buf) {
            Ok(0) => break "end of the connection",
            Ok(len) => received.extend_from_slice(&buf[..len]),
            Err(_) => break "connection reset",
        }
        if is_complete(&received) {
            break "complete";
        }
        #[expect(clippy::cast_precision_loss)]
        let due = Duration::from_secs_f64(received.len() as f64 / BYTES_PER_SECOND as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
    };
    let took = began.elapsed().as_secs_f64();
    let head = String::from_utf8_lossy(&received[..received.len().min(12)]).into_owned();
    record.line(format!(
        "caller of {attempt} got {head:?}, {} bytes, {ending}, after {took:.2} s",
        received.len()
    ));
    if ending != "complete" {
        record.line(format!(
            "BROKEN: {attempt} was passed on to a worker, and its answer is cut short"
        ));
        cut.fetch_add(1, Ordering::SeqCst);
    }
}

/// Whether the bytes hold a head and as many bytes of body as it says.
fn is_complete(received: &[u8]) -> bool {
    let Some(end) = received
        .windows(4)
        .take(4096)
        .position(|bytes| bytes == b"\r\n\r\n")
    else {
        return false;
    };
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|value| value.trim().parse::<usize>().ok());
    length.is_some_and(|length| received.len() >= end + 4 + length)
}
