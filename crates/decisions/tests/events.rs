//! Splitting of server-sent events, and the choice of events forwarded to the caller.

use catkin_decisions::{Error, EventFate, EventRelay, EventSplitter, LARGEST_EVENT};
use googletest::prelude::*;
use proptest::prelude::*;

fn event(id: u64, line_end: &str) -> String {
    format!("id: {id}{line_end}data: word {id}{line_end}{line_end}")
}

proptest! {
    /// The network may split a stream at any byte. Events must come out complete, in order and with
    /// every byte, and a trailing incomplete event must be reported.
    #[test]
    fn events_come_out_whole_wherever_the_bytes_are_cut(
        count in 0_u64..12,
        part in 0_usize..20,
        crlf: bool,
        cuts in prop::collection::vec(1_usize..40, 0..60),
    ) {
        let line_end = if crlf { "\r\n" } else { "\n" };
        let whole = (1..=count).map(|id| event(id, line_end)).collect::<String>();
        let torn = event(count + 1, line_end);
        let torn = &torn[..part.min(torn.len() - 2)];
        let bytes = format!("{whole}{torn}").into_bytes();
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            splitter.push(now).unwrap();
            rest = later;
            while let Some(event) = splitter.next_event() {
                found.push(event);
            }
        }

        let ids = found.iter().map(|event| event.id).collect::<Vec<_>>();
        prop_assert_eq!(ids, (1..=count).map(Some).collect::<Vec<_>>());
        let text = found.into_iter().flat_map(|event| event.bytes).collect::<Vec<_>>();
        prop_assert_eq!(text, whole.into_bytes());
        prop_assert_eq!(splitter.has_part(), !torn.is_empty());
    }

    /// Arbitrary bytes cause no panic, and the output is a prefix of the input.
    #[test]
    fn no_bytes_upset_the_splitter(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes).unwrap();
        let mut out = Vec::new();
        while let Some(event) = splitter.next_event() {
            out.extend(event.bytes);
        }
        prop_assert!(bytes.starts_with(&out));
    }

    /// A new run may start at any event, and events of all runs arrive interleaved. The caller must
    /// receive consecutive numbers, and only events of the latest run at that time.
    #[test]
    fn caller_gets_each_event_once_and_in_order(
        steps in prop::collection::vec((0_usize..4, 0_u64..3, any::<bool>()), 1..80),
        first in prop::option::of(0_u64..5),
    ) {
        let mut relay = EventRelay::new(first);
        let mut runs = vec![relay.begin_run()];
        let mut got = Vec::new();
        for (run, ahead, begin) in steps {
            if begin {
                runs.push(relay.begin_run());
            }
            let run = runs[run % runs.len()];
            let id = relay.last().unwrap_or(0) + ahead;
            let fate = relay.decide(run, id);
            if fate == EventFate::Deliver {
                prop_assert_eq!(Some(&run), runs.last());
                got.push(id);
            }
        }
        let start = first.map_or_else(|| got.first().copied().unwrap_or(0), |first| first + 1);
        prop_assert_eq!(&got, &(start..start + got.len() as u64).collect::<Vec<_>>());
    }
}

/// An upstream sends an unlimited event without an empty line. Unless it is rejected, the buffer
/// would grow without bound.
#[gtest]
fn event_without_an_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let bytes = vec![b'x'; LARGEST_EVENT];

    let first = splitter.push(&bytes);
    let second = splitter.push(b"x");

    expect_that!(first, ok(eq(&())));
    expect_that!(second, err(eq(&Error::EventTooLarge)));
}
