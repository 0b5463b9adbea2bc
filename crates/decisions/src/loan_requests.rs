//! Whose loans of repeats are awaited.
//!
//! A datagram may come twice, or long after it was sent. A loan that is counted twice would let all VMs
//! together repeat more than they may; so each question is answered once by each VM that was asked, and
//! a question is open for [`OPEN_FOR`] only.
//!
//! Questions follow each other while calls wait, and the loans of an earlier one arrive after the next was
//! sent. Counted for the latest question only, one loan in five was lost: its lender had less, and nobody
//! had more.

use super::*;

/// Least time between two questions for loans of a service: an answer takes 1 to 5 ms.
const ASK_PAUSE: Duration = Duration::from_millis(15);

/// VMs asked at a time.
pub const MAX_LENDERS: usize = 6;

/// How long a loan is awaited: far longer than an answer takes, far shorter than the window of the
/// lender's budget, in which what it gave counts as spent.
const OPEN_FOR: Duration = Duration::from_millis(500);

/// Questions of this VM that are open.
#[derive(Clone, Debug, Default)]
pub struct LoanRequests {
    /// In the order in which they were asked.
    open: Vec<OpenAsk>,
    last_number: u64,
}

#[derive(Clone, Debug)]
struct OpenAsk {
    service: ServiceId,
    number: u64,
    at: Instant,
    lenders: Vec<SocketAddr>,
}

impl LoanRequests {
    /// Begins a question to `lenders`, unless one has just been sent.
    pub fn ask(
        &mut self,
        service: &ServiceId,
        wanted: u32,
        lenders: Vec<SocketAddr>,
        now: Instant,
    ) -> Option<LoanAsk> {
        self.open.retain(|open| now.since(open.at) < OPEN_FOR);
        let just_asked = self
            .open
            .iter()
            .any(|open| open.service == *service && now.since(open.at) < ASK_PAUSE);
        if just_asked {
            return None;
        }
        self.last_number += 1;
        self.open.push(OpenAsk {
            service: service.clone(),
            number: self.last_number,
            at: now,
            lenders,
        });
        Some(LoanAsk {
            service: service.clone(),
            number: self.last_number,
            wanted,
        })
    }

    /// Takes in a loan; returns what it gives, which is nothing if it was not asked for, has come before
    /// or comes too late.
    pub fn receive(&mut self, loan: &Loan, lender: SocketAddr, now: Instant) -> u32 {
        let open = self.open.iter_mut().find(|open| {
            open.number == loan.number
                && open.service == loan.service
                && now.since(open.at) < OPEN_FOR
        });
        let Some(open) = open else {
            return 0;
        };
        let asked = open.lenders.iter().position(|asked| *asked == lender);
        match asked {
            Some(position) => {
                open.lenders.swap_remove(position);
                loan.given
            }
            None => 0,
        }
    }
}
