//! Whose loans of repeats are awaited.
//!
//! A datagram may come twice, or long after it was sent. A loan that is counted twice would let all VMs
//! together repeat more than they may; so each question is answered once by each VM that was asked, and
//! only the latest question of a service counts.

use super::*;

/// Least time between two questions for loans of a service: an answer takes 1 to 5 ms.
const ASK_PAUSE: Duration = Duration::from_millis(15);

/// VMs asked at a time.
pub const MOST_LENDERS: usize = 6;

/// Questions of this VM that are open.
#[derive(Clone, Debug, Default)]
pub struct LoanDesk {
    /// One for each service, sorted by service.
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

impl LoanDesk {
    /// Begins a question to `lenders`, unless one has just been sent.
    pub fn ask(
        &mut self,
        service: &ServiceId,
        wanted: u32,
        lenders: Vec<SocketAddr>,
        now: Instant,
    ) -> Option<LoanAsk> {
        let place = self.open.binary_search_by(|open| open.service.cmp(service));
        if let Ok(index) = place
            && now.since(self.open[index].at) < ASK_PAUSE
        {
            return None;
        }
        self.last_number += 1;
        let ask = OpenAsk {
            service: service.clone(),
            number: self.last_number,
            at: now,
            lenders,
        };
        match place {
            Ok(index) => self.open[index] = ask,
            Err(index) => self.open.insert(index, ask),
        }
        Some(LoanAsk {
            service: service.clone(),
            number: self.last_number,
            wanted,
        })
    }

    /// Takes in a loan; returns what it gives, which is nothing if it was not asked for or has come
    /// before.
    pub fn receive(&mut self, loan: &Loan, lender: SocketAddr) -> u32 {
        let place = self
            .open
            .binary_search_by(|open| open.service.cmp(&loan.service));
        let Ok(index) = place else {
            return 0;
        };
        let open = &mut self.open[index];
        let asked = open.lenders.iter().position(|asked| *asked == lender);
        match asked {
            Some(position) if open.number == loan.number => {
                open.lenders.swap_remove(position);
                loan.given
            }
            _ => 0,
        }
    }
}
