//! Splitting of server-sent events, and the choice of events forwarded to the caller.

use catkin_decisions::{Error, EventDecision, EventRelay, EventSplitter, MAX_EVENT_BYTES};
use googletest::prelude::*;
use proptest::prelude::*;

fn event(id: u64, line_end: &str) -> String {
    format!("id: {id}{line_end}data: word {id}{line_end}{line_end}")
}

proptest! {
    /// The network may split a stream at any byte. Events must come out complete, in order and with
    /// every byte, and a trailing incomplete event must be reported.
    #[test]
    fn events_are_complete_for_any_split_of_the_bytes(
        count in 0_u64..12,
        partial_len in 0_usize..20,
        crlf: bool,
        splits in prop::collection::vec(1_usize..40, 0..60),
    ) {
        let line_end = if crlf { "\r\n" } else { "\n" };
        let complete = (1..=count).map(|id| event(id, line_end)).collect::<String>();
        let truncated = event(count + 1, line_end);
        let truncated = &truncated[..partial_len.min(truncated.len() - 2)];
        let bytes = format!("{complete}{truncated}").into_bytes();
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        let mut rest = bytes.as_slice();
        for split in splits.into_iter().chain([usize::MAX]) {
            let (chunk, remainder) = rest.split_at(split.min(rest.len()));
            splitter.push(chunk).unwrap();
            rest = remainder;
            while let Some(event) = splitter.next_event() {
                found.push(event);
            }
        }

        let ids = found.iter().map(|event| event.id).collect::<Vec<_>>();
        prop_assert_eq!(ids, (1..=count).map(Some).collect::<Vec<_>>());
        let text = found.into_iter().flat_map(|event| event.bytes).collect::<Vec<_>>();
        prop_assert_eq!(text, complete.into_bytes());
        prop_assert_eq!(splitter.has_incomplete_event(), !truncated.is_empty());
    }

    /// Arbitrary bytes cause no panic, and the output is a prefix of the input.
    #[test]
    fn splitter_accepts_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes).unwrap();
        let mut output = Vec::new();
        while let Some(event) = splitter.next_event() {
            output.extend(event.bytes);
        }
        prop_assert!(bytes.starts_with(&output));
    }

    /// A new run may start at any event, and events of all runs arrive interleaved. The caller must
    /// receive consecutive numbers, and only events of the latest run at that time.
    #[test]
    fn caller_receives_each_event_once_and_in_order(
        steps in prop::collection::vec((0_usize..4, 0_u64..3, any::<bool>()), 1..80),
        first in prop::option::of(0_u64..5),
    ) {
        let mut relay = EventRelay::new(first);
        let mut runs = vec![relay.begin_run()];
        let mut forwarded = Vec::new();
        for (run, ahead, begin) in steps {
            if begin {
                runs.push(relay.begin_run());
            }
            let run = runs[run % runs.len()];
            let id = relay.last().unwrap_or(0) + ahead;
            let decision = relay.decide(run, id);
            if decision == EventDecision::Deliver {
                prop_assert_eq!(Some(&run), runs.last());
                forwarded.push(id);
            }
        }
        let start = first.map_or_else(|| forwarded.first().copied().unwrap_or(0), |first| first + 1);
        prop_assert_eq!(&forwarded, &(start..start + forwarded.len() as u64).collect::<Vec<_>>());
    }
}

/// An upstream sends an unlimited event without an empty line. Unless it is rejected, the buffer
/// would grow without bound.
#[gtest]
fn unterminated_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let bytes = vec![b'x'; MAX_EVENT_BYTES];

    let first = splitter.push(&bytes);
    let second = splitter.push(b"x");

    expect_that!(first, ok(eq(&())));
    expect_that!(second, err(eq(&Error::EventTooLarge)));
}
