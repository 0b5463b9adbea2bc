//! Open requests of this VM for loans of retry budget from other VMs.
//!
//! A datagram may be duplicated or delayed. A loan that is counted twice would let all VMs together
//! send more retries than the budget allows. Each lender is therefore counted once per request, and a
//! request stays open only for [`REQUEST_TTL`].
//!
//! Several requests may be open at once, because loans for an earlier one arrive after the next was
//! sent. When only the latest request was open, one loan in five was lost: it was deducted from its
//! lender's budget and not added to any other.

use super::*;

/// Minimum interval between two loan requests for a service; a reply takes 1 to 5 ms.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum number of VMs that receive a loan request.
pub const MAX_LENDERS: usize = 6;

/// How long a loan request stays open. This is far longer than a reply takes, and far shorter than
/// the window in which the lender counts the loan as spent.
const REQUEST_TTL: Duration = Duration::from_millis(500);

/// The open loan requests of this VM.
#[derive(Clone, Debug, Default)]
pub struct LoanRequests {
    /// Ordered by the time of sending.
    open: Vec<OpenRequest>,
    last_number: u64,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    service: ServiceId,
    number: u64,
    sent_at: Instant,
    lenders: Vec<SocketAddr>,
}

impl LoanRequests {
    /// Opens a loan request to `lenders`; `None` if one for the service was sent within
    /// `MIN_REQUEST_INTERVAL`.
    pub fn request(
        &mut self,
        service: &ServiceId,
        wanted: u32,
        lenders: Vec<SocketAddr>,
        now: Instant,
    ) -> Option<LoanAsk> {
        self.open
            .retain(|open| now.since(open.sent_at) < REQUEST_TTL);
        let recently_requested = self
            .open
            .iter()
            .any(|open| open.service == *service && now.since(open.sent_at) < MIN_REQUEST_INTERVAL);
        if recently_requested {
            return None;
        }
        self.last_number += 1;
        self.open.push(OpenRequest {
            service: service.clone(),
            number: self.last_number,
            sent_at: now,
            lenders,
        });
        Some(LoanAsk {
            service: service.clone(),
            number: self.last_number,
            wanted,
        })
    }

    /// Accepts a loan and returns the number of retries it adds, which is 0 for an unsolicited,
    /// duplicate or late loan.
    pub fn receive(&mut self, loan: &Loan, lender: SocketAddr, now: Instant) -> u32 {
        let open = self.open.iter_mut().find(|open| {
            open.number == loan.number
                && open.service == loan.service
                && now.since(open.sent_at) < REQUEST_TTL
        });
        let Some(open) = open else {
            return 0;
        };
        let position = open.lenders.iter().position(|other| *other == lender);
        match position {
            Some(index) => {
                open.lenders.swap_remove(index);
                loan.given
            }
            None => 0,
        }
    }
}
