//! Changes of the bundle store with racing operators, lost responses and delayed calls.

use catkin_decisions::{
    BundleAuthor, BundleChange, BundleDigest, BundleDraft, BundleKey, BundleRefusal, BundleRelease,
    BundleRow, BundleVersion, ChangeResult, CurrentBundle, DraftId, OperatorName, ReleaseSource,
    Stored,
};
use googletest::prelude::*;
use proptest::prelude::*;

/// A mock of the table service. Each row has a key, a row version and a value.
#[derive(Clone, Default)]
struct Table(Vec<(BundleKey, u64, BundleRow)>);

impl Table {
    fn find(&self, key: &BundleKey) -> Option<&(BundleKey, u64, BundleRow)> {
        self.0.iter().find(|(found, ..)| found == key)
    }

    fn row(&self, key: &BundleKey) -> Option<&BundleRow> {
        self.find(key).map(|(_, _, row)| row)
    }

    fn transact(&mut self, change: &BundleChange) -> bool {
        let holds = |(key, version): &(BundleKey, u64)| {
            self.find(key).map_or(0, |(_, found, _)| *found) == *version
        };
        if !change.conditions.iter().all(holds) {
            return false;
        }
        for row in &change.writes {
            let version = self.find(&row.key()).map_or(1, |(_, found, _)| found + 1);
            self.0.retain(|(key, ..)| *key != row.key());
            self.0.push((row.key(), version, row.clone()));
        }
        true
    }

    fn resolve(&self, change: &BundleChange) -> ChangeResult {
        change.resolve(self.row(&change.confirmation_key()))
    }

    fn current(&self) -> Option<Stored<CurrentBundle>> {
        match self.find(&BundleKey::Current)? {
            (_, row, BundleRow::Current(value)) => Some(Stored {
                row_version: *row,
                value: value.clone(),
            }),
            _ => None,
        }
    }

    fn draft(&self, id: &DraftId) -> Option<Stored<BundleDraft>> {
        match self.find(&BundleKey::Draft(id.clone()))? {
            (_, row, BundleRow::Draft(value)) => Some(Stored {
                row_version: *row,
                value: value.clone(),
            }),
            _ => None,
        }
    }

    fn release(&self, version: BundleVersion) -> Option<BundleRelease> {
        match self.row(&BundleKey::Release(version))? {
            BundleRow::Release(release) => Some(release.clone()),
            _ => None,
        }
    }

    fn drafts(&self) -> Vec<BundleDraft> {
        let rows = self.0.iter().filter_map(|(_, _, row)| match row {
            BundleRow::Draft(draft) => Some(draft.clone()),
            _ => None,
        });
        rows.collect()
    }

    fn releases(&self) -> Vec<BundleRelease> {
        let mut releases = self
            .0
            .iter()
            .filter_map(|(_, _, row)| match row {
                BundleRow::Release(release) => Some(release.clone()),
                _ => None,
            })
            .collect::<Vec<_>>();
        releases.sort_by_key(|release| release.version);
        releases
    }
}

fn operator(name: &str) -> OperatorName {
    name.parse().expect("a valid name")
}

fn author(name: &str, change: u32) -> BundleAuthor {
    BundleAuthor {
        operator: operator(name),
        change: format!("c{change}").parse().expect("a valid token"),
        at: 0,
    }
}

fn digest(content: &str) -> BundleDigest {
    BundleDigest::of(content)
}

/// Adds a draft of `content` by ada that bea has signed off.
fn add_signed_off_draft(table: &mut Table, content: &str, change: u32) -> DraftId {
    let current = table.current();
    let proposal =
        BundleChange::propose(current.as_ref(), digest(content), author("ada", change)).unwrap();
    assert!(table.transact(&proposal));
    let BundleKey::Draft(id) = proposal.confirmation_key() else {
        panic!("the result of a proposal is read from its draft");
    };
    let draft = table.draft(&id).expect("the draft");
    let sign_off =
        BundleChange::sign_off(&draft, digest(content), author("bea", change + 1)).unwrap();
    assert!(table.transact(&sign_off));
    id
}

fn roll_out(
    table: &Table,
    id: &DraftId,
    author: BundleAuthor,
) -> std::result::Result<BundleChange, BundleRefusal> {
    BundleChange::roll_out(
        &table.draft(id).expect("the draft"),
        table.current().as_ref(),
        table.release(id.base.next()).as_ref(),
        author,
    )
}

/// Two operators both read before either writes. The second write must change nothing and its author
/// must learn who was first.
#[gtest]
fn losing_roll_out_reports_the_winner() {
    let mut table = Table::default();
    let one = add_signed_off_draft(&mut table, "one", 1);
    let two = add_signed_off_draft(&mut table, "two", 3);
    let winner = roll_out(&table, &one, author("ada", 5)).unwrap();
    let loser = roll_out(&table, &two, author("cy", 6)).unwrap();

    assert!(table.transact(&winner));
    assert!(!table.transact(&loser));

    let superseded = BundleRefusal::Superseded {
        by: operator("ada"),
        version: BundleVersion(1),
    };
    expect_that!(table.resolve(&winner), eq(&ChangeResult::Done));
    expect_that!(
        superseded.to_string(),
        eq("ada rolled out version 1 first; nothing of yours was changed")
    );
    expect_that!(table.resolve(&loser), eq(&ChangeResult::Lost(superseded)));
}

#[gtest]
fn losing_sign_off_reports_the_winner() {
    let mut table = Table::default();
    let proposal = BundleChange::propose(None, digest("one"), author("ada", 1)).unwrap();
    assert!(table.transact(&proposal));
    let draft = table.drafts().remove(0);
    let stored = table.draft(&draft.id).expect("the draft");
    let winner = BundleChange::sign_off(&stored, digest("one"), author("bea", 2)).unwrap();
    let loser = BundleChange::sign_off(&stored, digest("one"), author("cy", 3)).unwrap();

    assert!(table.transact(&winner));
    assert!(!table.transact(&loser));

    let already_signed_off = BundleRefusal::AlreadySignedOff {
        draft: draft.id,
        by: operator("bea"),
    };
    expect_that!(table.resolve(&winner), eq(&ChangeResult::Done));
    expect_that!(
        table.resolve(&loser),
        eq(&ChangeResult::Lost(already_signed_off))
    );
}

/// Guards against a bundle coming into force without review by a second operator, or undoing a
/// release that its author has not seen. Operators would notice only when callers fail.
#[gtest]
fn invalid_changes_are_rejected() {
    let mut table = Table::default();
    let first = add_signed_off_draft(&mut table, "one", 1);
    let stale = add_signed_off_draft(&mut table, "two", 3);
    let proposal = BundleChange::propose(None, digest("three"), author("ada", 5)).unwrap();
    assert!(table.transact(&proposal));
    let BundleKey::Draft(unsigned) = proposal.confirmation_key() else {
        panic!("the result of a proposal is read from its draft");
    };
    let release = roll_out(&table, &first, author("ada", 6)).unwrap();
    let unsigned_roll_out = roll_out(&table, &unsigned, author("ada", 7));
    let self_sign_off = BundleChange::sign_off(
        &table.draft(&unsigned).expect("the draft"),
        digest("three"),
        author("ada", 8),
    );
    let digest_mismatch = BundleChange::sign_off(
        &table.draft(&unsigned).expect("the draft"),
        digest("four"),
        author("bea", 9),
    );
    assert!(table.transact(&release));
    let current = table.current();
    let refusals = [
        unsigned_roll_out,
        self_sign_off,
        digest_mismatch,
        roll_out(&table, &first, author("ada", 10)),
        roll_out(&table, &stale, author("ada", 11)),
        BundleChange::propose(current.as_ref(), digest("one"), author("ada", 12)),
        BundleChange::roll_back(
            &table.release(BundleVersion(1)).expect("the release"),
            current.as_ref(),
            author("ada", 13),
        ),
    ]
    .map(|rejected| rejected.unwrap_err().to_string());

    expect_that!(
        refusals,
        elements_are![
            eq("draft `0-c5` is not signed off"),
            eq("draft `0-c5` was proposed by ada, and another operator must sign it off"),
            eq(&format!(
                "draft `0-c5` has the digest {}, not {}",
                digest("three"),
                digest("four")
            )),
            eq("draft `0-c1` is version 1 already, rolled out by ada"),
            eq("ada rolled out version 1 first; nothing of yours was changed"),
            eq("this is the content of version 1, which is in force"),
            eq("this is the content of version 1, which is in force"),
        ]
    );
}

/// A step of an operator in the property test.
#[derive(Clone, Copy, Debug)]
struct Step {
    operator: usize,
    kind: u8,
    pick: usize,
    /// Number of other steps between reading and writing.
    delay: usize,
    /// Whether the transaction is sent a second time, with a delay.
    duplicated: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (
        0..3_usize,
        0..4_u8,
        any::<usize>(),
        0..4_usize,
        any::<bool>(),
    )
        .prop_map(|(operator, kind, pick, delay, duplicated)| Step {
            operator,
            kind,
            pick,
            delay,
            duplicated,
        });
    prop::collection::vec(step, 1..60)
}

fn decide(table: &Table, step: Step, change: u32) -> Option<BundleChange> {
    let author = author(["ada", "bea", "cy"][step.operator], change);
    let current = table.current();
    let drafts = table.drafts();
    let draft = (!drafts.is_empty()).then(|| drafts[step.pick % drafts.len()].id.clone());
    let decided = match step.kind {
        0 => BundleChange::propose(
            current.as_ref(),
            digest(&format!("{}", step.pick % 4)),
            author,
        ),
        1 => {
            let stored = table.draft(&draft?)?;
            BundleChange::sign_off(&stored, stored.value.digest, author)
        }
        2 => roll_out(table, &draft?, author),
        _ => {
            let releases = table.releases();
            let earlier = releases.get(step.pick % releases.len().max(1))?;
            BundleChange::roll_back(earlier, current.as_ref(), author)
        }
    };
    decided.ok()
}

/// For each call: the change, whether the call took effect, and the result its author saw.
type Outcomes = Vec<(BundleChange, bool, ChangeResult)>;

fn run(steps: &[Step]) -> (Table, Outcomes) {
    let mut table = Table::default();
    let mut in_flight: Vec<(usize, BundleChange, bool)> = Vec::new();
    let mut outcomes = Outcomes::new();
    for (now, step) in steps.iter().enumerate() {
        let (due, rest) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        in_flight = rest;
        write_all(&mut table, due, &mut in_flight, &mut outcomes, now);
        let change = u32::try_from(now).expect("few steps");
        if let Some(change) = decide(&table, *step, change) {
            in_flight.push((now + step.delay, change, step.duplicated));
        }
    }
    let due = std::mem::take(&mut in_flight);
    write_all(&mut table, due, &mut in_flight, &mut outcomes, steps.len());
    let late = std::mem::take(&mut in_flight);
    write_all(&mut table, late, &mut in_flight, &mut outcomes, steps.len());
    (table, outcomes)
}

fn write_all(
    table: &mut Table,
    due: Vec<(usize, BundleChange, bool)>,
    in_flight: &mut Vec<(usize, BundleChange, bool)>,
    outcomes: &mut Outcomes,
    now: usize,
) {
    for (_, change, duplicated) in due {
        let committed = table.transact(&change);
        let result = table.resolve(&change);
        if duplicated {
            in_flight.push((now + 2, change.clone(), false));
        }
        outcomes.push((change, committed, result));
    }
}

proptest! {
    /// Operators read, wait, write, and repeat writes late, all interleaved. Versions must have no
    /// gaps, two operators must have reviewed each content, no change may take effect twice, and
    /// every author must see the correct result.
    #[test]
    fn racing_operators_produce_gapless_reviewed_releases(steps in steps()) {
        let (table, outcomes) = run(&steps);

        let releases = table.releases();
        for (release, version) in releases.iter().zip(1..) {
            prop_assert_eq!(release.version, BundleVersion(version));
            match &release.source {
                ReleaseSource::Draft { draft, proposed_by, signed_off_by } => {
                    prop_assert_ne!(proposed_by, signed_off_by);
                    prop_assert_eq!(draft.base.next(), release.version);
                }
                ReleaseSource::RollBack { version } => {
                    let earlier = table.release(*version).expect("an earlier release");
                    prop_assert!(*version < release.version);
                    prop_assert_eq!(earlier.digest, release.digest);
                }
            }
        }
        let last = releases.last().map(|release| (release.version, release.digest));
        let current = table.current().map(|stored| (stored.value.version, stored.value.digest));
        prop_assert_eq!(last, current);
        for (change, _, result) in &outcomes {
            prop_assert_ne!(result, &ChangeResult::Pending, "{:?}", change);
            let effects = outcomes.iter().filter(|(other, committed, _)| other == change && *committed).count();
            let expected = usize::from(*result == ChangeResult::Done);
            prop_assert_eq!(effects, expected, "{:?}", change);
        }
    }
}
