use super::*;
use crate::peer_socket::{PeerReceiver, PeerSender};
use tokio::io::{AsyncRead, AsyncWrite};

/// Timeout of each step of the handshake.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);

/// What a VM identifies itself with in a handshake.
pub(crate) struct PeerIdentity {
    pub(crate) entry: PeerEntry,
    pub(crate) key: PeerKey,
}

impl PeerIdentity {
    /// Performs the handshake as the caller. Both ends prove that they know the key, over random
    /// nonces from both ends, so that a recorded handshake cannot be replayed.
    pub(crate) async fn call<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        callee: &VmId,
        tx: &mut PeerSender<S>,
        rx: &mut PeerReceiver<S>,
    ) -> Result<(), PeerError> {
        let PeerBody::Challenge(challenge) = rx.receive_within(STEP_TIMEOUT).await?.body else {
            return Err(PeerError::Form);
        };
        check_protocol(challenge.protocol)?;
        let nonce = random_nonce();
        let hello = PeerHello {
            entry: self.entry.clone(),
            proof: self.key.prove(&[
                b"hello",
                &challenge.nonce,
                &nonce,
                self.entry.vm.as_str().as_bytes(),
            ]),
            nonce: nonce.clone(),
        };
        tx.send(vec![(0, PeerBody::Hello(hello))]).await?;
        let PeerBody::Welcome(welcome) = rx.receive_within(STEP_TIMEOUT).await?.body else {
            return Err(PeerError::Key);
        };
        let vm = welcome.vm.as_str().as_bytes();
        let parts: [&[u8]; 4] = [b"welcome", &challenge.nonce, &nonce, vm];
        if !self.key.verify(&parts, &welcome.proof) {
            return Err(PeerError::Key);
        }
        if welcome.vm != *callee {
            return Err(PeerError::OtherVm {
                expected: callee.clone(),
                found: welcome.vm,
            });
        }
        Ok(())
    }

    /// Performs the handshake as the callee; returns the caller.
    pub(crate) async fn answer<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        tx: &mut PeerSender<S>,
        rx: &mut PeerReceiver<S>,
    ) -> Result<PeerEntry, PeerError> {
        let nonce = random_nonce();
        let challenge = PeerChallenge {
            protocol: PEER_PROTOCOL,
            nonce: nonce.clone(),
        };
        tx.send(vec![(0, PeerBody::Challenge(challenge))]).await?;
        let PeerBody::Hello(hello) = rx.receive_within(STEP_TIMEOUT).await?.body else {
            return Err(PeerError::Form);
        };
        let vm = hello.entry.vm.as_str().as_bytes();
        let parts: [&[u8]; 4] = [b"hello", &nonce, &hello.nonce, vm];
        if !self.key.verify(&parts, &hello.proof) {
            return Err(PeerError::Key);
        }
        let own = self.entry.vm.as_str().as_bytes();
        let welcome = PeerWelcome {
            vm: self.entry.vm.clone(),
            proof: self.key.prove(&[b"welcome", &nonce, &hello.nonce, own]),
        };
        tx.send(vec![(0, PeerBody::Welcome(welcome))]).await?;
        Ok(hello.entry)
    }
}

fn check_protocol(theirs: u16) -> Result<(), PeerError> {
    if theirs == PEER_PROTOCOL {
        return Ok(());
    }
    Err(PeerError::Protocol { theirs })
}

fn random_nonce() -> Vec<u8> {
    rand::random::<[u8; 16]>().to_vec()
}
