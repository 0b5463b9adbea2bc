//! Heartbeats between the VMs, sent as datagrams and not over the connections between VMs: the next
//! heartbeat makes up for a lost one, and a peer that hangs delays no other.

use super::*;
use tokio::{net::UdpSocket, sync::mpsc};

/// Maximum size of a datagram that is not fragmented.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Delay in which dispatches are batched before they are sent: the crash of a zone causes several
/// at once, and a millisecond is short compared with the hundreds that a prefill takes.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// Maximum number of suspects in a heartbeat. Partial heartbeats would rotate more of them, and other VMs would
/// avoid upstreams that have returned meanwhile.
const MAX_SUSPECTS: usize = 12;

/// Maximum number of crashes that are added to a heartbeat.
const MAX_CRASHES: usize = 12;

/// Maximum number of statements about limits in a heartbeat, the latest ones.
const MAX_LIMITS: usize = 8;

/// Maximum number of crashes under parts of prompts in a crash report.
const MAX_PART_CRASHES: usize = 10;

/// Every how many heartbeats the crashes of a blamed part and of a refused body are sent again, for VMs that have
/// started since.
const HEARTBEATS_PER_EVIDENCE: u64 = 5;

/// Exchanges heartbeats with the other VMs; never returns.
pub async fn exchange_heartbeats(gateway: Arc<Gateway>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    if let Some(datagrams) = gateway.outbox.take() {
        tokio::spawn(send_outbox(datagrams, socket.clone()));
    }
    tokio::spawn(receive_datagrams(gateway.clone(), socket.clone()));
    let mut sender = HeartbeatSender {
        gateway: gateway.clone(),
        socket: socket.clone(),
        rotation: HeartbeatRotation::default(),
        extra_datagrams: 0,
    };
    let mut ticks = gateway.timer.subscribe(HEARTBEAT_INTERVAL);
    for number in 1.. {
        tokio::select! {
            _ = ticks.recv() => {
                gateway.advertise_with_members(number);
                let mut recipients = gateway.recipients();
                // The seeds may not be among the live VMs, as after a restart of the whole system,
                // so they are notified too.
                recipients.extend(&gateway.settings.seeds);
                let with_evidence = number.is_multiple_of(HEARTBEATS_PER_EVIDENCE);
                send_crash_reports(&gateway, &socket, &recipients, with_evidence).await;
                sender.send(number, HeartbeatTrigger::Interval, recipients).await;
            }
            () = gateway.dispatches.wait() => {
                tokio::time::sleep(BATCH_DELAY).await;
                let recipients = gateway.dispatch_recipients(&gateway.dispatches.take());
                sender.send(number, HeartbeatTrigger::Event, recipients).await;
            }
            () = gateway.crashes_seen.notified() => {
                tokio::time::sleep(BATCH_DELAY).await;
                let recipients = gateway.recipients();
                if gateway.is_full_mesh() {
                    send_crash_reports(&gateway, &socket, &recipients, false).await;
                }
                sender.send(number, HeartbeatTrigger::Event, recipients).await;
            }
        }
    }
}

struct HeartbeatSender {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    rotation: HeartbeatRotation,
    /// Number of datagrams beyond the first of each heartbeat; they have sequence numbers of their own.
    extra_datagrams: u64,
}

impl HeartbeatSender {
    /// Sends the heartbeat with a number, or parts of it if it does not fit into a datagram.
    async fn send(
        &mut self,
        number: u64,
        trigger: HeartbeatTrigger,
        mut recipients: Vec<SocketAddr>,
    ) {
        recipients.sort_unstable();
        recipients.dedup();
        let heartbeat = self
            .gateway
            .heartbeat(number, self.extra_datagrams, trigger);
        let now = self.gateway.timer.now();
        let packed = pack(
            heartbeat,
            &mut self.rotation,
            trigger,
            MAX_DATAGRAM_BYTES,
            now,
        );
        if packed.is_partial {
            metrics::counter!("catkin_heartbeats_partial_total").increment(1);
        }
        for (kind, count) in packed.left_out {
            let kind: &'static str = kind.into();
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            metrics::counter!("catkin_heartbeat_items_left_out_total", "kind" => kind)
                .increment(count);
        }
        for (index, datagram) in (0..).zip(&packed.datagrams) {
            self.extra_datagrams += u64::from(index > 0);
            send_to_all(&self.socket, datagram, &recipients).await;
        }
    }
}

/// Sends the crashes under parts of prompts that other VMs may not know.
async fn send_crash_reports(
    gateway: &Gateway,
    socket: &UdpSocket,
    recipients: &[SocketAddr],
    with_evidence: bool,
) {
    let mut recipients = recipients.to_vec();
    recipients.sort_unstable();
    recipients.dedup();
    for (recipients, parts) in gateway.crash_reports(recipients, with_evidence) {
        let vm = gateway.settings.vm.clone();
        let report = PeerDatagram::Crashes(CrashReport { vm, parts });
        send(socket, &report, &recipients).await;
    }
}

async fn send_outbox(mut datagrams: mpsc::Receiver<Addressed>, socket: Arc<UdpSocket>) {
    while let Some((to, datagram)) = datagrams.recv().await {
        send(&socket, &datagram, &to).await;
    }
}

/// Sends a datagram to each address, divided into several if its lists are long.
async fn send(socket: &UdpSocket, datagram: &PeerDatagram, recipients: &[SocketAddr]) {
    let encoded = datagram.encode(MAX_DATAGRAM_BYTES);
    for datagram in &encoded.datagrams {
        send_to_all(socket, datagram, recipients).await;
    }
    if encoded.too_large > 0 {
        tracing::warn!(
            items = encoded.too_large,
            "items too large for a datagram, not sent"
        );
    }
}

async fn send_to_all(socket: &UdpSocket, datagram: &[u8], recipients: &[SocketAddr]) {
    for address in recipients {
        if let Err(error) = socket.send_to(datagram, address).await {
            // A VM that has stopped refuses datagrams; the next heartbeat shows whether it is back.
            tracing::debug!(%address, %error, "datagram not sent");
        }
    }
}

async fn receive_datagrams(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, address) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // The refusal of a datagram that was sent earlier is reported here.
                tracing::debug!(%error, "receiving a datagram failed");
                continue;
            }
        };
        match ciborium::from_reader::<PeerDatagram, _>(&buf[..len]) {
            Ok(PeerDatagram::Note(heartbeat)) => gateway.receive_heartbeat(heartbeat, address),
            Ok(PeerDatagram::Partial(heartbeat)) => {
                gateway.receive_partial_heartbeat(heartbeat, address);
            }
            Ok(PeerDatagram::Members(members)) => gateway.receive_members(&members),
            Ok(PeerDatagram::Gossip(gossip)) => gateway.receive_gossip(&gossip, address),
            Ok(PeerDatagram::LoanAsk(ask)) => gateway.lend(ask, address),
            Ok(PeerDatagram::Loan(loan)) => gateway.borrow(&loan, address),
            Ok(PeerDatagram::Restart(restart)) => gateway.receive_restart(&restart),
            Ok(PeerDatagram::Rollout(notice)) => _ = gateway.apply_rollout_notice(&notice),
            Ok(PeerDatagram::RolloutReport(report)) => gateway.handle_report(&report, address),
            Ok(PeerDatagram::Statement(stated)) => gateway.receive_statement(&stated, address),
            Ok(PeerDatagram::Crashes(report)) => gateway.receive_crashes(report),
            Ok(PeerDatagram::RolloutGrant(grant)) => gateway.apply_grant(&grant, Some(address)),
            Err(error) => tracing::warn!(%address, %error, "note cannot be read"),
        }
    }
}

impl Gateway {
    /// Builds the heartbeat with a number, to which that of the extra datagrams before is added. Those that are sent after
    /// a dispatch or a crash leave out the members.
    fn heartbeat(
        &self,
        number: u64,
        extra_datagrams: u64,
        trigger: HeartbeatTrigger,
    ) -> PeerHeartbeat {
        let with_members = trigger == HeartbeatTrigger::Interval;
        let now = self.timer.now();
        let mut state = self.state.lock();
        let mut loads = Vec::new();
        let mut suspects = Vec::new();
        let doubtful = state.service_reaches(now).doubtful();
        let scheduled = state.scheduled_services(now);
        for upstream in state.upstreams_mut() {
            let is_scheduled = scheduled.contains(&upstream.entry.service);
            let prefill = if is_scheduled {
                upstream.room.prefill_left(now)
            } else {
                upstream.load.prefill_left(now)
            };
            let calls = upstream.load.call_and_copy_count();
            if calls > 0 || !prefill.is_zero() {
                loads.push(PeerLoad {
                    upstream: upstream.entry.id.clone(),
                    calls,
                    reading_ms: u32::try_from(prefill.as_millis()).unwrap_or(u32::MAX),
                    hundred_tokens: is_scheduled
                        .then(|| PeerLoad::in_hundreds(upstream.room.promised_tokens())),
                });
            }
            let is_evidence = doubtful.binary_search(&upstream.entry.service).is_err();
            if upstream.health.is_suspect() && is_evidence && suspects.len() < MAX_SUSPECTS {
                suspects.push(upstream.entry.id.clone());
            }
        }
        let mut crashes = state.crashes.next_to_send(MAX_CRASHES, now);
        if with_members && number.is_multiple_of(HEARTBEATS_PER_EVIDENCE) {
            crashes.extend(state.crashes.next_refused(now));
        }
        PeerHeartbeat {
            vm: self.settings.vm.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.vm_incarnation.incarnation,
            number: number + extra_datagrams,
            loads,
            suspects,
            crashes,
            members: if with_members {
                state
                    .peers
                    .members(&self.settings.zone, rand::random(), now)
            } else {
                Vec::new()
            },
            wants_members: with_members && state.peers.wants_members(&self.settings.zone, now),
            rollouts: state.rollouts.notices(now),
            link: self.settings.link,
            demands: state.advertised_demands(now),
            limits: state.relayed_limits(MAX_LIMITS, now),
            doubtful,
        }
    }

    /// Crashes under parts of prompts to send, with the VMs that they go to: those of suspect parts and, now and then,
    /// of a blamed one to the recipients of the heartbeat, and others that this VM has seen to their collectors.
    fn crash_reports(
        &self,
        recipients: Vec<SocketAddr>,
        with_evidence: bool,
    ) -> Vec<(Vec<SocketAddr>, Vec<PartCrash>)> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let mut reports = Vec::<(Vec<SocketAddr>, Vec<PartCrash>)>::new();
        for crash in state.crashes.next_own_to_send(MAX_PART_CRASHES, now) {
            let collectors = state.peers.crash_collectors(&crash.part, now);
            match reports.iter_mut().find(|(to, _)| *to == collectors) {
                Some((_, parts)) => parts.push(crash),
                None => reports.push((collectors, vec![crash])),
            }
        }
        let suspects = state.crashes.next_suspects_to_send(MAX_PART_CRASHES, now);
        reports.push((recipients.clone(), suspects));
        if with_evidence {
            reports.push((recipients, state.crashes.next_evidence(now)));
        }
        reports.retain(|(_, parts)| !parts.is_empty());
        reports
    }

    /// Whether the VMs send their heartbeats to all others. In a larger fleet, a crash of a zone's engines would make
    /// so many VMs report at once that crash reports wait for the next heartbeat.
    fn is_full_mesh(&self) -> bool {
        let now = self.timer.now();
        self.state.lock().peers.is_full_mesh(now)
    }

    /// Address of a random live VM.
    pub(crate) fn random_peer(&self) -> Option<SocketAddr> {
        let now = self.timer.now();
        let state = self.state.lock();
        state.peers.sample_addresses(1, rand::random(), now).pop()
    }

    /// Recipients of the periodic heartbeat: a few VMs always, those that share upstreams in use here,
    /// and those that read for the zone. These send what they read to all VMs that they know.
    fn recipients(&self) -> Vec<SocketAddr> {
        let now = self.timer.now();
        let readers = ZoneRole::polling(&self.zone_members());
        let mut state = self.state.lock();
        let mut recipients =
            state
                .peers
                .heartbeat_receivers(&self.settings.zone, rand::random(), now);
        let used = state
            .upstreams_mut()
            // KV copies add little load and are in other zones: the VMs that share their holders
            // learn of them with the next stream there.
            .filter(|upstream| upstream.load.own_calls() > 0)
            .map(|upstream| upstream.entry.clone())
            .collect::<Vec<_>>();
        drop(state);
        recipients.extend(self.dispatch_recipients(&used));
        let state = self.state.lock();
        recipients.extend(readers.iter().filter_map(|vm| state.peers.address_of(vm)));
        recipients
    }

    fn dispatch_recipients(&self, dispatched: &[Arc<UpstreamEntry>]) -> Vec<SocketAddr> {
        let now = self.timer.now();
        let state = self.state.lock();
        dispatched
            .iter()
            .flat_map(|upstream| {
                state
                    .peers
                    .dispatch_receivers(upstream, &self.settings.zone, now)
            })
            .collect()
    }

    /// Applies the status of VMs that another VM has sent.
    fn receive_members(&self, members: &[MemberStatus]) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state.peers.apply_members(members, &self.settings.zone, now);
    }

    /// Applies a complete heartbeat of another VM that came from `address`.
    pub fn receive_heartbeat(&self, heartbeat: PeerHeartbeat, address: SocketAddr) {
        self.apply_heartbeat(heartbeat, address, PeerLoads::apply_heartbeat);
    }

    /// Applies a partial heartbeat of another VM that came from `address`.
    pub fn receive_partial_heartbeat(&self, heartbeat: PeerHeartbeat, address: SocketAddr) {
        self.apply_heartbeat(heartbeat, address, PeerLoads::apply_partial_heartbeat);
    }

    fn apply_heartbeat(
        &self,
        heartbeat: PeerHeartbeat,
        address: SocketAddr,
        apply: fn(&mut PeerLoads, PeerHeartbeat, SocketAddr, Instant) -> bool,
    ) {
        if heartbeat.vm == self.settings.vm {
            return;
        }
        let now = self.timer.now();
        let (vm, crashes) = (heartbeat.vm.clone(), heartbeat.crashes.clone());
        let started = started_upstreams(&heartbeat);
        let rollouts = heartbeat.rollouts.clone();
        let limits = heartbeat.limits.clone();
        let mut state = self.state.lock();
        let wanted = state
            .peers
            .requested_members(&heartbeat, rand::random(), now);
        if !wanted.is_empty() {
            self.outbox.send(address, PeerDatagram::Members(wanted));
        }
        let newly_suspect = heartbeat.suspects.iter();
        let newly_suspect = newly_suspect
            .filter(|id| state.peer_suspicions.record(id, now) && !state.is_suspect(id))
            .cloned()
            .collect::<Vec<_>>();
        let before = state.peers.live_count(now);
        if !apply(&mut state.peers, heartbeat, address, now) {
            return;
        }
        let crashes = crashes.into_iter().map(|crash| crash.received(now));
        let new_crashes = state.apply_reported_crashes(crashes, now);
        let live = state.peers.live_count(now);
        drop(state);
        self.room_may_have_changed();
        if new_crashes > 0 {
            tracing::debug!(new = new_crashes, %vm, "crashes reported by another VM");
        }
        for limit in &limits {
            self.limit_relayed(limit);
        }
        for (id, born) in started {
            self.upstream_started(&id, born);
        }
        for notice in &rollouts {
            self.apply_rollout_notice(notice);
        }
        for upstream in newly_suspect {
            if self.log.admits(LineKind::Belief, now) {
                tracing::info!(%upstream, %vm, "upstream is suspect at another VM");
            }
        }
        if live > before {
            tracing::info!(%vm, %address, live, "peer found");
        }
    }
}

/// The upstreams that a heartbeat names whose process start is known.
fn started_upstreams(heartbeat: &PeerHeartbeat) -> Vec<(UpstreamId, ProcessStart)> {
    let loads = heartbeat.loads.iter().map(|load| &load.upstream);
    loads
        .chain(&heartbeat.suspects)
        .filter_map(|upstream| Some((upstream.id.clone(), upstream.born?)))
        .collect()
}
