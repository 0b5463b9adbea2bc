//! The bundle store on a platform whose responses are lost, late or refused.

use catkin_decisions::{BundleAuthor, BundleVersion, DraftId};
use catkin_standins::{MockPlatform, TransactOutcome};
use catkinward::{Applied, BundleStore, BundleStoreSettings, Platform, PlatformCall, Result};
use googletest::prelude::*;
use std::{num::NonZeroU32, sync::Arc, time::Duration};

struct Fixture {
    platform: MockPlatform,
    store: BundleStore,
}

fn fixture() -> Fixture {
    let platform = MockPlatform::default();
    let store = BundleStore::new(
        Arc::new(with_yields(platform.platform())),
        BundleStoreSettings {
            max_attempts: 3,
            retry_delay: Duration::ZERO,
        },
    );
    Fixture { platform, store }
}

/// Returns the platform with a yield before each call, so that the calls of racing operators
/// alternate: both have read before either writes.
fn with_yields(platform: Platform) -> Platform {
    Platform {
        transact: yielding(platform.transact),
        read: yielding(platform.read),
        scan: yielding(platform.scan),
        put_object: yielding(platform.put_object),
        get_object: yielding(platform.get_object),
        vms: yielding(platform.vms),
    }
}

fn yielding<Q: Send + 'static, A: Send + 'static>(call: PlatformCall<Q, A>) -> PlatformCall<Q, A> {
    let call = Arc::new(call);
    Box::new(move |query| {
        let call = call.clone();
        Box::pin(async move {
            tokio::task::yield_now().await;
            call(query).await
        })
    })
}

fn author(operator: &str) -> BundleAuthor {
    BundleAuthor {
        operator: operator.parse().expect("a valid name"),
        change: format!("{:08x}", rand::random::<u32>())
            .parse()
            .expect("a valid token"),
        at: 0,
    }
}

fn bundle(team: &str) -> String {
    let key = catkin_decisions::KeyHash::of(team);
    format!(
        r#"{{"teams": [{{"name": "{team}", "key_sha256": "{key}"}}], "services": [], "upstreams": []}}"#
    )
}

impl Fixture {
    async fn propose(&self, team: &str) -> Result<Applied<DraftId>> {
        let applied = self.store.propose(&bundle(team), author("ada")).await?;
        Ok(Applied {
            value: applied.value.id,
            confirmed_by_read: applied.confirmed_by_read,
        })
    }

    async fn sign_off(&self, id: &DraftId) -> Result<Applied<DraftId>> {
        let digest = self.store.draft(id).await?.value.digest;
        let applied = self.store.sign_off(id, digest, author("bea")).await?;
        Ok(Applied {
            value: applied.value.id,
            confirmed_by_read: applied.confirmed_by_read,
        })
    }

    /// Creates a draft and signs it off.
    async fn draft(&self, team: &str) -> DraftId {
        let id = self.propose(team).await.expect("a draft").value;
        self.sign_off(&id).await.expect("a sign-off");
        id
    }

    /// Rolls out a new draft.
    async fn release(&self, team: &str) -> BundleVersion {
        let id = self.draft(team).await;
        let release = self.store.roll_out(&id, author("ada")).await;
        release.expect("a release").value
    }

    async fn versions(&self) -> Vec<u64> {
        let limit = NonZeroU32::new(10).expect("not zero");
        let history = self.store.history(limit).await.expect("a history");
        history.iter().map(|release| release.version.0).collect()
    }
}

/// A step that the fault cases run, on a store with two releases and a draft that is signed off.
#[derive(Clone, Copy, Debug)]
enum Step {
    Propose,
    SignOff,
    RollOut,
    RollBack,
}

const STEPS: [Step; 4] = [Step::Propose, Step::SignOff, Step::RollOut, Step::RollBack];

/// Runs a step with scripted transaction outcomes. Returns whether the change was confirmed by
/// reading back, or the error, and whether the step finally took effect.
async fn run(step: Step, outcomes: &[TransactOutcome]) -> (Result<bool>, bool) {
    let fixture = fixture();
    fixture.release("one").await;
    fixture.release("two").await;
    let signed_off = fixture.draft("three").await;
    let unsigned = fixture.propose("four").await.expect("a draft").value;
    fixture.platform.script(outcomes.iter().copied());
    let confirmed_by_read = match step {
        Step::Propose => fixture
            .propose("five")
            .await
            .map(|applied| applied.confirmed_by_read),
        Step::SignOff => fixture
            .sign_off(&unsigned)
            .await
            .map(|applied| applied.confirmed_by_read),
        Step::RollOut => {
            let applied = fixture.store.roll_out(&signed_off, author("ada")).await;
            applied.map(|applied| applied.confirmed_by_read)
        }
        Step::RollBack => {
            let applied = fixture
                .store
                .roll_back(BundleVersion(1), author("ada"))
                .await;
            applied.map(|applied| applied.confirmed_by_read)
        }
    };
    // A delayed transaction arrives before the next one.
    fixture.platform.script([TransactOutcome::Answered]);
    let _ = fixture.propose("six").await;
    let took_effect = match step {
        Step::Propose => {
            fixture
                .store
                .drafts_over(BundleVersion(2))
                .await
                .expect("drafts")
                .len()
                == 4
        }
        Step::SignOff => {
            let draft = fixture.store.draft(&unsigned).await.expect("the draft");
            draft.value.signed_off.is_some()
        }
        Step::RollOut | Step::RollBack => fixture.versions().await == [1, 2, 3],
    };
    (confirmed_by_read, took_effect)
}

/// At any step the table service's response is lost, the call is lost, or it arrives late. The
/// operator must be told the actual result, and the step must take effect at most once.
#[gtest]
#[tokio::test]
async fn each_step_reports_its_actual_result_under_each_fault() {
    use TransactOutcome::{Answered, Late, LostAfterEffect, LostBeforeEffect, NotRun, Throttled};
    const REFUSED: &str = "the platform is not available; nothing was changed";
    const LIMITED: &str = "the platform's rate limit is reached; nothing was changed";
    const IN_DOUBT: &str = "the platform's response was lost, and reading the state back was \
                            inconclusive: the change may have taken effect or may still do so; \
                            run `catkinctl bundle status` once the platform responds";
    let cases: [(&[TransactOutcome], std::result::Result<bool, &str>, bool); 10] = [
        (&[Answered], Ok(false), true),
        (&[LostAfterEffect], Ok(true), true),
        (&[LostBeforeEffect, Answered], Ok(false), true),
        (&[Late, Answered], Ok(true), true),
        (&[Late, LostBeforeEffect], Ok(true), true),
        (&[NotRun, Throttled, Answered], Ok(false), true),
        (&[NotRun, LostAfterEffect], Ok(true), true),
        (&[NotRun, NotRun, NotRun], Err(REFUSED), false),
        (&[NotRun, NotRun, Throttled], Err(LIMITED), false),
        (
            &[LostBeforeEffect, LostBeforeEffect, Late],
            Err(IN_DOUBT),
            true,
        ),
    ];
    for step in STEPS {
        for (outcomes, expected, takes_effect) in &cases {
            let (reported, took_effect) = run(step, outcomes).await;

            let reported = reported.map_err(|error| error.to_string());
            let expected = expected.map_err(str::to_owned);
            expect_that!(reported, eq(&expected), "{step:?} under {outcomes:?}");
            expect_that!(
                took_effect,
                eq(*takes_effect),
                "{step:?} under {outcomes:?}"
            );
        }
    }
}

/// Two operators take the same step at once. One succeeds; the other is told who did, even if its
/// own response was lost.
#[gtest]
#[tokio::test]
async fn losing_operator_is_told_who_won() {
    for outcomes in [
        [TransactOutcome::Answered; 2],
        [TransactOutcome::LostAfterEffect; 2],
    ] {
        let fixture = fixture();
        fixture.release("one").await;
        fixture.release("two").await;
        let drafts = [fixture.draft("three").await, fixture.draft("four").await];
        fixture.platform.script(outcomes);
        let (won, lost) = tokio::join!(
            fixture.store.roll_out(&drafts[0], author("ada")),
            fixture.store.roll_out(&drafts[1], author("bea")),
        );
        expect_that!(won.expect("a release").value, eq(BundleVersion(3)));
        expect_that!(
            lost.expect_err("overtaken").to_string(),
            eq("ada rolled out version 3 first; nothing of yours was changed")
        );
        expect_that!(
            fixture.versions().await,
            elements_are![eq(&1), eq(&2), eq(&3)]
        );
    }
}

/// One operator rolls back while another rolls out. The second change must not undo the first,
/// which its operator has not seen.
#[gtest]
#[tokio::test]
async fn roll_back_and_roll_out_do_not_undo_each_other() {
    let fixture = fixture();
    fixture.release("one").await;
    fixture.release("two").await;
    let draft = fixture.draft("three").await;

    let (back, out) = tokio::join!(
        fixture.store.roll_back(BundleVersion(1), author("cy")),
        fixture.store.roll_out(&draft, author("ada")),
    );

    expect_that!(back.expect("a release").value, eq(BundleVersion(3)));
    expect_that!(
        out.expect_err("overtaken").to_string(),
        eq("cy rolled out version 3 first; nothing of yours was changed")
    );
}

#[gtest]
#[tokio::test]
async fn second_sign_off_names_the_first_operator() {
    let fixture = fixture();
    let id = fixture.propose("one").await.expect("a draft").value;
    let digest = fixture
        .store
        .draft(&id)
        .await
        .expect("the draft")
        .value
        .digest;

    let (first, second) = tokio::join!(
        fixture.store.sign_off(&id, digest, author("bea")),
        fixture.store.sign_off(&id, digest, author("cy")),
    );

    expect_that!(first.expect("a sign-off").confirmed_by_read, eq(false));
    let expected = format!("bea signed off draft `{id}` first");
    expect_that!(second.expect_err("second").to_string(), eq(&expected));
}

/// Two operators propose at once: both drafts must be stored and listed.
#[gtest]
#[tokio::test]
async fn racing_proposals_are_both_stored() {
    let fixture = fixture();

    let (one, two) = tokio::join!(fixture.propose("one"), fixture.propose("two"));

    expect_that!(one, ok(anything()));
    expect_that!(two, ok(anything()));
    let drafts = fixture.store.drafts_over(BundleVersion(0)).await;
    expect_that!(drafts.expect("drafts").len(), eq(2));
}

/// During a long platform outage, operators are told that nothing was changed. After it the same
/// step succeeds.
#[gtest]
#[tokio::test]
async fn outage_changes_nothing() {
    let fixture = fixture();
    let id = fixture.draft("one").await;
    fixture.platform.set_outage(true);

    let during = fixture.store.roll_out(&id, author("ada")).await;
    fixture.platform.set_outage(false);
    let after = fixture.store.roll_out(&id, author("ada")).await;

    expect_that!(
        during.expect_err("an outage").to_string(),
        eq("the platform is not available; nothing was changed")
    );
    expect_that!(after.expect("a release").value, eq(BundleVersion(1)));
}

/// An object in the object store is altered, so its content is not what was signed off.
#[gtest]
#[tokio::test]
async fn altered_content_is_refused() {
    let fixture = fixture();
    let version = fixture.release("one").await;
    let digest = fixture
        .store
        .release(version)
        .await
        .expect("it is there")
        .digest;
    let altered = bundle("someone-else");
    fixture.platform.with_store(|store| {
        store.put_object(&format!("bundle/{digest}"), altered.clone().into());
    });

    let content = fixture.store.content(digest).await;

    let found = catkin_decisions::BundleDigest::of(&altered);
    let expected = format!("the bundle's content has the digest {found}, not {digest}");
    expect_that!(content.expect_err("altered").to_string(), eq(&expected));
}
