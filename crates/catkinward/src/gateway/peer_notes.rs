//! Notes between the VMs, as datagrams: one that is lost is made good by the next, and a peer that
//! hangs holds up nobody. So they do not go over the connections between VMs.

use super::*;
use tokio::{net::UdpSocket, sync::mpsc};

/// Largest note: what fits into one datagram without being cut into several.
const LARGEST_NOTE: usize = 1400;

/// Wait in which dispatches gather before they are told: a crash of a zone makes several at once, and
/// a millisecond is little against the hundreds that reading a prompt takes.
const GATHER: Duration = Duration::from_millis(1);

/// Other VMs that a note names.
const MOST_NAMED: usize = 4;

/// Upstreams that a note names as suspects, and crashes that it tells; the latest.
const MOST_TOLD: usize = 12;

/// Exchanges notes with the other VMs for good.
pub async fn exchange_notes(gateway: Arc<Gateway>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    if let Some(datagrams) = gateway.outbox.take() {
        tokio::spawn(empty_outbox(datagrams, socket.clone()));
    }
    tokio::spawn(take_notes(gateway.clone(), socket.clone()));
    let incarnation = rand::random();
    let mut ticks = gateway.timer.subscribe(NOTE_PERIOD);
    for number in 1.. {
        let note = PeerDatagram::Note(gateway.note(incarnation, number));
        let mut told = gateway.told();
        // Seeds may be of another life of the system, so they are told beside the live ones.
        told.extend(&gateway.settings.seeds);
        told.sort_unstable();
        told.dedup();
        send(&socket, &note, &told).await;
        tokio::select! {
            _ = ticks.recv() => {}
            () = gateway.load_changed.notified() => tokio::time::sleep(GATHER).await,
        }
    }
}

async fn empty_outbox(
    mut datagrams: mpsc::Receiver<(SocketAddr, PeerDatagram)>,
    socket: Arc<UdpSocket>,
) {
    while let Some((to, datagram)) = datagrams.recv().await {
        send(&socket, &datagram, &[to]).await;
    }
}

async fn send(socket: &UdpSocket, datagram: &PeerDatagram, told: &[SocketAddr]) {
    let mut buf = Vec::with_capacity(LARGEST_NOTE);
    ciborium::into_writer(datagram, &mut buf).expect("datagrams can be written as CBOR");
    if buf.len() > LARGEST_NOTE {
        tracing::warn!(bytes = buf.len(), "note too large, left out");
        return;
    }
    for address in told {
        if let Err(error) = socket.send_to(&buf, address).await {
            // A VM that is gone refuses; the next note finds out whether it is back.
            tracing::debug!(%address, %error, "note not sent");
        }
    }
}

async fn take_notes(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; LARGEST_NOTE];
    loop {
        let (len, address) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // A refusal that an earlier note met is reported here.
                tracing::debug!(%error, "no note");
                continue;
            }
        };
        match ciborium::from_reader::<PeerDatagram, _>(&buf[..len]) {
            Ok(PeerDatagram::Note(note)) => gateway.take_note(note, address),
            Ok(PeerDatagram::LoanAsk(ask)) => gateway.lend(ask, address),
            Ok(PeerDatagram::Loan(loan)) => gateway.borrow(&loan, address),
            Err(error) => tracing::warn!(%address, %error, "note cannot be read"),
        }
    }
}

impl Gateway {
    fn note(&self, incarnation: u64, number: u64) -> PeerNote {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let mut loads = Vec::new();
        let mut suspects = Vec::new();
        for upstream in state.upstreams_mut() {
            let reading = upstream.load.reading_left(now);
            let calls = upstream.load.streams();
            if calls > 0 || !reading.is_zero() {
                loads.push(PeerLoad {
                    upstream: upstream.entry.id.clone(),
                    calls,
                    reading_ms: u32::try_from(reading.as_millis()).unwrap_or(u32::MAX),
                });
            }
            if upstream.pulse.is_suspect() && suspects.len() < MOST_TOLD {
                suspects.push(upstream.entry.id.clone());
            }
        }
        PeerNote {
            vm: self.settings.vm.clone(),
            zone: self.settings.zone.clone(),
            incarnation,
            number,
            loads,
            suspects,
            crashes: state.crashes.latest(MOST_TOLD),
            members: state.peers.some_addresses(MOST_NAMED, number, now),
        }
    }

    /// Any live VM, another one each time.
    pub(crate) fn a_peer(&self) -> Option<SocketAddr> {
        let now = self.timer.now();
        let state = self.state.lock();
        state.peers.some_addresses(1, rand::random(), now).pop()
    }

    fn told(&self) -> Vec<SocketAddr> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state.peers.told(&self.settings.zone, now)
    }

    /// Takes in a note of another VM, with the address that it came from.
    pub fn take_note(&self, note: PeerNote, address: SocketAddr) {
        if note.vm == self.settings.vm {
            return;
        }
        let now = self.timer.now();
        let (vm, crashes) = (note.vm.clone(), note.crashes.clone());
        let mut state = self.state.lock();
        let before = state.peers.live_count(now);
        if !state.peers.take(note, address, now) {
            return;
        }
        for crash in crashes {
            state.crashes.crashed(Crash { at: now, ..crash });
        }
        let live = state.peers.live_count(now);
        drop(state);
        if live > before {
            tracing::info!(%vm, %address, live, "peer found");
        }
    }
}
