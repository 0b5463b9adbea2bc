//! The process that a statement of an upstream is about.

use catkin_decisions::{ResponseKind, StatementSubject, UpstreamId, UpstreamStatement};
use googletest::prelude::*;

fn statement(kind: ResponseKind, responder: Option<&UpstreamId>) -> UpstreamStatement {
    UpstreamStatement {
        kind,
        responder: responder.cloned(),
        ..UpstreamStatement::default()
    }
}

/// Guards against statements that are filed under a process which is gone, and those of one process that bind another.
#[gtest]
fn statement_is_about_the_process_that_responded() {
    use ResponseKind::{Answer, Other, OtherIncarnation, Rejection};
    let expected: UpstreamId = "u-1".parse().unwrap();
    let other: UpstreamId = "u-2".parse().unwrap();
    let cases = [
        (Answer, None, StatementSubject::Expected),
        (Rejection, None, StatementSubject::Expected),
        (Other, None, StatementSubject::Expected),
        (OtherIncarnation, None, StatementSubject::Unknown),
        (
            OtherIncarnation,
            Some(&other),
            StatementSubject::Other(&other),
        ),
        (
            OtherIncarnation,
            Some(&expected),
            StatementSubject::Expected,
        ),
        (Answer, Some(&other), StatementSubject::Other(&other)),
    ];
    for (kind, responder, subject) in cases {
        let statement = statement(kind, responder);
        expect_that!(
            statement.subject(&expected),
            eq(subject),
            "{kind:?} {responder:?}"
        );
    }
}
