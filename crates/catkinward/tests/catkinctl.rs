//! Tests of the `catkinctl` binary against a mock platform and VMs that run in this process.

use catkin_border::platform::{PlatformFaults, VmEntry, VmKind, VmList, VmState};
use catkin_decisions::KeyHash;
use catkin_standins::PlatformServer;
use catkinward::{
    Event, EventKind, Node, Settings,
    http_client::{Connections, HttpCall, json_bytes},
    http_server::Listener,
};
use googletest::prelude::*;
use http::Method;
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

const KEY: &str = "operator-key";

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A mock platform and a temporary folder for bundle files.
struct Site {
    platform: PlatformServer,
    folder: PathBuf,
}

/// Exit code and output of a run of `catkinctl`.
#[derive(Debug, PartialEq)]
struct Output {
    code: Option<i32>,
    out: String,
    err: String,
}

fn success(out: &str) -> Output {
    Output {
        code: Some(0),
        out: out.to_owned(),
        err: String::new(),
    }
}

fn failure(err: &str) -> Output {
    Output {
        code: Some(1),
        out: String::new(),
        err: format!("error: {err}\n"),
    }
}

async fn start_site() -> Site {
    let platform = PlatformServer::start(any_address(), PlatformFaults::default()).await;
    let folder = std::env::temp_dir().join(format!("catkinctl-{:016x}", rand::random::<u64>()));
    std::fs::create_dir(&folder).expect("a temporary folder");
    Site {
        platform: platform.expect("a platform starts"),
        folder,
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Writes a bundle file with one team of the given weight and returns its path.
    fn file(&self, name: &str, weight: u32) -> String {
        let key = KeyHash::of("counter-key");
        let path = self.folder.join(name);
        let bundle = format!(
            r#"{{
                "teams": [{{"name": "counter", "key_sha256": "{key}", "weight": {weight}}}],
                "services": [],
                "upstreams": []
            }}"#
        );
        std::fs::write(&path, bundle).expect("a temporary file");
        path.to_str().expect("a path of text").to_owned()
    }

    async fn run(&self, operator: &str, args: &[&str]) -> Output {
        let platform = self.platform.address().to_string();
        let flags = ["--platform", &platform, "--operator", operator];
        run_catkinctl(&[&flags, args].concat()).await
    }

    /// Proposes a bundle file and returns the id of the draft.
    async fn propose(&self, operator: &str, file: &str) -> String {
        let output = self.run(operator, &["bundle", "propose", file]).await;
        let id = output.out.split(' ').nth(1).expect("a draft id");
        id.to_owned()
    }

    /// Proposes, signs off and rolls out a bundle file, with two operators.
    async fn release(&self, file: &str) {
        let draft = self.propose("ada", file).await;
        self.run("bea", &["bundle", "sign-off", &draft]).await;
        self.run("ada", &["bundle", "roll-out", &draft]).await;
    }
}

async fn run_catkinctl(args: &[&str]) -> Output {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_catkinctl"))
        .args(args)
        .env("CATKINCTL_KEY", KEY)
        .output()
        .await
        .expect("the tool starts");
    Output {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Replaces each timestamp with TIME and each digest with DIGEST.
fn normalize(text: &str) -> String {
    let word = |word: &str| {
        let core = word.trim_end_matches([':', ';']);
        let rest = &word[core.len()..];
        if core.len() == 64 && core.bytes().all(|b| b.is_ascii_hexdigit()) {
            return format!("DIGEST{rest}");
        }
        if core.starts_with("20") && core.ends_with('Z') && core.contains('T') {
            return format!("TIME{rest}");
        }
        word.to_owned()
    };
    let lines = text.lines().map(|line| {
        let words = line.split(' ').map(word).collect::<Vec<_>>();
        words.join(" ") + "\n"
    });
    lines.collect()
}

#[gtest]
#[tokio::test]
async fn check_summarizes_a_valid_bundle() {
    let site = start_site().await;
    let file = site.file("a.json", 1);

    let output = run_catkinctl(&["bundle", "check", &file]).await;

    expect_that!(output.code, some(eq(0)));
    let expected = "the bundle is valid: teams 1, services 0, upstreams 0\ndigest DIGEST\n";
    expect_that!(normalize(&output.out), eq(expected));
}

#[gtest]
#[tokio::test]
async fn check_names_the_invalid_field() {
    let site = start_site().await;
    let file = site.file("a.json", 1);
    let text = std::fs::read_to_string(&file).expect("a readable file");
    std::fs::write(&file, text.replace("weight", "wieght")).expect("a writable file");

    let output = run_catkinctl(&["bundle", "check", &file]).await;

    expect_that!(output.code, some(eq(1)));
    let expected = "error: bundle: teams[0].wieght: unknown field `wieght`, expected one of \
                    `key_sha256`, `name`, `requests_per_second`, `tokens_per_second`, `weight`";
    expect_that!(output.err, starts_with(expected));
}

#[gtest]
#[tokio::test]
async fn bundle_is_proposed_signed_off_rolled_out_and_rolled_back() {
    let site = start_site().await;
    site.release(&site.file("a.json", 1)).await;
    let draft = site.propose("ada", &site.file("b.json", 2)).await;

    let status = site.run("ada", &["bundle", "status"]).await;
    let own = site.run("ada", &["bundle", "sign-off", &draft]).await;
    let early = site.run("ada", &["bundle", "roll-out", &draft]).await;
    let sign_off = site.run("bea", &["bundle", "sign-off", &draft]).await;
    let roll_out = site.run("ada", &["bundle", "roll-out", &draft]).await;
    let again = site.run("cy", &["bundle", "roll-out", &draft]).await;
    let diff = site.run("ada", &["bundle", "diff", "1", "2"]).await;
    let roll_back = site.run("cy", &["bundle", "roll-back", "1"]).await;
    let history = site.run("ada", &["bundle", "history"]).await;

    let change = "~ team `counter`: weight 1 -> 2\n";
    let listed = format!("draft {draft}: proposed by ada, not signed off\n");
    expect_that!(status.out, ends_with(listed));
    let expected =
        format!("draft `{draft}` was proposed by ada, and another operator must sign it off");
    expect_that!(own, eq(&failure(&expected)));
    expect_that!(
        early,
        eq(&failure(&format!("draft `{draft}` is not signed off")))
    );
    let expected = format!(
        "{change}draft {draft} is signed off by bea, digest DIGEST\n\
         it is rolled out with `catkinctl bundle roll-out {draft}`\n"
    );
    expect_that!(normalize(&sign_off.out), eq(&expected));
    expect_that!(roll_out, eq(&success("version 2 is rolled out\n")));
    let expected = format!("draft `{draft}` is version 2 already, rolled out by ada");
    expect_that!(again, eq(&failure(&expected)));
    expect_that!(diff, eq(&success(change)));
    let expected = "version 3 is rolled out, with the content of version 1\n";
    expect_that!(roll_back, eq(&success(expected)));
    let history = normalize(&history.out);
    let lines = history.lines().collect::<Vec<_>>();
    expect_that!(lines.len(), eq(3));
    let expected = format!(
        "version 2, rolled out by ada at TIME: draft {draft} of ada, signed off by bea; digest DIGEST"
    );
    expect_that!(lines[1], eq(&expected));
    let expected = "version 3, rolled out by cy at TIME: content of version 1; digest DIGEST";
    expect_that!(lines[2], eq(expected));
}

/// The platform commits a roll-out, but its response is lost. The operator must be told that the
/// roll-out took effect, and it must not be done twice.
#[gtest]
#[tokio::test]
async fn lost_response_is_resolved_and_reported() {
    let site = start_site().await;
    site.release(&site.file("a.json", 1)).await;
    let draft = site.propose("ada", &site.file("b.json", 2)).await;
    site.run("bea", &["bundle", "sign-off", &draft]).await;
    site.platform.change_faults(&PlatformFaults {
        lose_answers: Some(1),
        ..PlatformFaults::default()
    });

    let roll_out = site.run("ada", &["bundle", "roll-out", &draft]).await;

    let expected = "the platform's response was lost; reading back confirms that the change took effect\n\
                    version 2 is rolled out\n";
    expect_that!(roll_out, eq(&success(expected)));
}

/// Two operators have drafts based on the same release. The second one to roll out must be told who
/// rolled out first, and nothing is changed.
#[gtest]
#[tokio::test]
async fn second_roll_out_is_refused_and_names_the_first_operator() {
    let site = start_site().await;
    let first = site.propose("ada", &site.file("a.json", 1)).await;
    let second = site.propose("bea", &site.file("b.json", 2)).await;
    site.run("bea", &["bundle", "sign-off", &first]).await;
    site.run("ada", &["bundle", "sign-off", &second]).await;
    site.run("ada", &["bundle", "roll-out", &first]).await;

    let lost = site.run("bea", &["bundle", "roll-out", &second]).await;

    let expected = "ada rolled out version 1 first; nothing of yours was changed";
    expect_that!(lost, eq(&failure(expected)));
}

#[gtest]
#[tokio::test]
async fn invalid_command_lines_are_rejected_with_a_reason() {
    let cases: [(&[&str], &str); 9] = [
        (
            &[],
            "no command given; `catkinctl --help` lists the commands",
        ),
        (
            &["bundle"],
            "unknown command `bundle`; `catkinctl --help` lists the commands",
        ),
        (
            &["bundle", "burn"],
            "unknown command `bundle burn`; `catkinctl --help` lists the commands",
        ),
        (
            &["bundle", "propose"],
            "`bundle propose` requires FILE; see `catkinctl --help`",
        ),
        (&["status", "now"], "unexpected argument `now`"),
        (
            &["bundle", "roll-out", "next"],
            "a draft id must be a version, a dash and a text, as in `7-k3f9`",
        ),
        (
            &["bundle", "status"],
            "`--platform` or `CATKINCTL_PLATFORM` must be given",
        ),
        (
            &["timeline", "--since", "noon"],
            "`--since` must be a clock reading, or an age as in `5m`, but is `noon`",
        ),
        (
            &["--vm"],
            "missing argument for option '--vm'; `catkinctl --help` lists the flags",
        ),
    ];
    for (args, expected) in cases {
        expect_that!(
            run_catkinctl(args).await,
            eq(&failure(expected)),
            "{args:?}"
        );
    }
}

struct Vm {
    node: Arc<Node>,
    operators: SocketAddr,
}

async fn start_vm(name: &str, zone: &str) -> Vm {
    let node = Node::start(Settings {
        vm: name.parse().expect("a valid name"),
        zone: zone.parse().expect("a valid name"),
        operator_key: Some(KeyHash::of(KEY)),
        ..Settings::default()
    })
    .expect("a node starts");
    let listener = Listener::bind(any_address()).await.expect("a free port");
    let operators = listener.address().expect("an address");
    let serving = node.clone();
    tokio::spawn(async move { serving.serve_operators(listener).await });
    Vm { node, operators }
}

impl Vm {
    fn record(&self, kind: EventKind, attempt: u64) {
        self.node.timeline.record(Event {
            request: Some("r-1".parse().expect("a valid name")),
            attempt: Some(catkin_decisions::Attempt(attempt)),
            ..Event::new(kind)
        });
    }

    /// Advances the clock of another VM as a message from this VM would.
    fn send_to(&self, other: &Self) {
        let sent = self.node.timeline.clock().tick();
        other.node.timeline.clock().observe(sent);
    }

    fn entry(&self) -> VmEntry {
        entry(self.node.settings.vm.as_str(), self.operators)
    }
}

fn entry(id: &str, operators: SocketAddr) -> VmEntry {
    VmEntry {
        address: "127.0.0.1:1".to_owned(),
        availability_zone: "leith-hall".to_owned(),
        id: id.to_owned(),
        kind: VmKind::Router,
        operator_address: Some(operators.to_string()),
        state: VmState::Live,
    }
}

async fn set_vms(site: &Site, vms: Vec<VmEntry>) {
    let call = HttpCall {
        address: site.platform.address(),
        method: Method::PUT,
        path: "/v1/vms".to_owned(),
        body: json_bytes(&VmList { vms }),
        ..HttpCall::default()
    };
    let connections = Connections::new().expect("a client");
    connections
        .call_complete(call)
        .await
        .expect("a response of the platform");
}

/// A generation moves from one VM to another, and a third VM is unreachable. The timeline must list the
/// events of both VMs in causal order and name the missing VM.
#[gtest]
#[tokio::test]
async fn timeline_merges_events_and_names_unreachable_vms() {
    let site = start_site().await;
    let (one, two) = (
        start_vm("vm-1", "govan-hall").await,
        start_vm("vm-2", "leith-hall").await,
    );
    let unreachable = Listener::bind(any_address()).await.expect("a free port");
    let unreachable_address = unreachable.address().expect("an address");
    drop(unreachable);
    set_vms(
        &site,
        vec![two.entry(), entry("vm-3", unreachable_address), one.entry()],
    )
    .await;
    one.record(EventKind::Accepted, 1);
    one.send_to(&two);
    two.record(EventKind::NewAttempt, 2);
    two.send_to(&one);
    one.record(EventKind::Whole, 2);

    let output = site.run("ada", &["timeline", "--request", "r-1"]).await;

    let text = normalize(&output.out);
    let (events, missing) = text.split_at(text.find("missing").expect("a VM is missing"));
    let expected = "TIME vm-1 govan-hall accepted request r-1 attempt 1\n\
                    TIME vm-2 leith-hall new_attempt request r-1 attempt 2\n\
                    TIME vm-1 govan-hall whole request r-1 attempt 2\n";
    expect_that!(events, eq(expected));
    let expected = format!("missing: vm-3: no answer from {unreachable_address}");
    expect_that!(missing, starts_with(expected));
    expect_that!(output.code, some(eq(0)));
}

#[gtest]
#[tokio::test]
async fn timeline_json_has_the_recorded_events() {
    let one = start_vm("vm-1", "govan-hall").await;
    one.record(EventKind::Accepted, 1);
    let address = one.operators.to_string();

    let output = run_catkinctl(&["timeline", "--request=r-1", "--json", "--vm", &address]).await;

    let json: serde_json::Value = serde_json::from_str(&output.out).expect("JSON");
    expect_that!(json["events"][0]["kind"].as_str(), some(eq("accepted")));
    expect_that!(json["events"][0]["vm"].as_str(), some(eq("vm-1")));
    expect_that!(json["missing"].as_array().map(Vec::len), some(eq(0)));
}

#[gtest]
#[tokio::test]
async fn status_shows_each_vm() {
    let one = start_vm("vm-1", "govan-hall").await;
    let two = start_vm("vm-2", "leith-hall").await;
    let empty = r#"{"teams": [], "services": [], "upstreams": []}"#;
    let put = two.node.activate_bundle(3, empty);
    expect_that!(put.expect("a valid bundle"), eq(true));
    let digest = two.node.bundle.current().digest.to_string();
    let (one, two) = (one.operators.to_string(), two.operators.to_string());

    let output = run_catkinctl(&["status", "--vm", &one, "--vm", &two]).await;

    let expected = format!(
        "vm-1 govan-hall no bundle, not ready, 0 in flight, 0 of 0 upstreams take new work\n\
         vm-2 leith-hall bundle 3 {}, ready, 0 in flight, 0 of 0 upstreams take new work\n",
        &digest[..12]
    );
    expect_that!(output, eq(&success(&expected)));
}
