//! Validation of bundles, with the exact error text for each invalid one.

use catkin_decisions::{BundleDigest, BundleVersion, KeyHash};
use catkinward::{read_bundle, read_canonical};
use googletest::prelude::*;
use serde_json::{Value, json};

fn bundle() -> Value {
    json!({
        "teams": [
            {"name": "counter", "key_sha256": KeyHash::of("a").to_string()},
            {"name": "web-shop", "key_sha256": KeyHash::of("b").to_string(), "weight": 3},
        ],
        "services": [
            {
                "name": "ticket-model",
                "kind": "generation",
                "model": {"name": "catkin", "version": "1", "adapter": "print"},
                "recovery": "least_wait",
                "teams": ["counter"],
            },
            {
                "name": "shopfront",
                "kind": "plain",
                "paths": [{"method": "GET", "prefix": "/", "idempotent": true}],
            },
        ],
        "upstreams": [{
            "id": "engine-1",
            "address": "10.0.0.1:8000",
            "availability_zone": "leith-hall",
            "services": ["ticket-model"],
            "enforces_fencing": true,
        }],
    })
}

/// Returns the bundle with the value at `pointer` set.
fn with(pointer: &str, value: Value) -> Value {
    let mut bundle = bundle();
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = bundle.pointer_mut(parent).expect("the parent is there");
    match (parent, field) {
        (Value::Array(items), "-") => items.push(value),
        (Value::Object(fields), _) => {
            fields.insert(field.to_owned(), value);
        }
        (other, _) => panic!("`{other}` has no field"),
    }
    bundle
}

fn error(bundle: &Value) -> String {
    let read = read_bundle(BundleVersion(1), &bundle.to_string());
    read.expect_err("it is wrong").to_string()
}

/// An operator's file has one invalid field. If it were accepted, requests would be refused or
/// misrouted on every VM within seconds.
#[gtest]
fn invalid_fields_are_named() {
    let key = KeyHash::of("a").to_string();
    let cases = [
        (
            "/teams/0/name",
            json!(""),
            "teams[0].name: `team` must have 1 to 200 visible ASCII characters",
        ),
        (
            "/teams/0/key_sha256",
            json!("12"),
            "teams[0].key_sha256: a key hash must have 64 lower-case hexadecimal digits",
        ),
        (
            "/teams/1/key_sha256",
            json!(key),
            "team `web-shop`.key_sha256: is also the key of team `counter`",
        ),
        (
            "/teams/1/name",
            json!("counter"),
            "teams: `counter` is defined more than once",
        ),
        (
            "/teams/0/weight",
            json!(0),
            "teams[0].weight: invalid value: integer `0`, expected a nonzero u32",
        ),
        (
            "/teams/0/wieght",
            json!(1),
            "teams[0].wieght: unknown field `wieght`, expected one of `key_sha256`, `name`, `requests_per_second`, `tokens_per_second`, `weight`",
        ),
        (
            "/services/0/kind",
            json!("model"),
            "services[0].kind: unknown variant `model`, expected `generation` or `plain`",
        ),
        (
            "/services/0/model/version",
            json!(""),
            "services[0].model.version: must not be empty",
        ),
        (
            "/services/0/paths",
            json!([{"method": "GET", "prefix": "/", "idempotent": true}]),
            "services[0].paths: is not allowed for a service of kind `generation`",
        ),
        (
            "/services/0/teams",
            json!(["counter", "counter"]),
            "services[0].teams: `counter` is defined more than once",
        ),
        (
            "/services/0/teams",
            json!(["printer"]),
            "service `ticket-model`.teams: `printer` is not defined in this bundle",
        ),
        (
            "/services/1/kind",
            json!("generation"),
            "services[1].paths: is not allowed for a service of kind `generation`",
        ),
        (
            "/services/1/recovery",
            json!("least_work"),
            "services[1].recovery: is not allowed for a service of kind `plain`",
        ),
        (
            "/services/1/paths/0/method",
            json!("get"),
            "services[1].paths[0].method: must be an HTTP method in upper case",
        ),
        (
            "/services/1/paths/0/prefix",
            json!("map"),
            "services[1].paths[0].prefix: must begin with `/`",
        ),
        (
            "/services/1/paths/-",
            json!({"method": "GET", "prefix": "/", "idempotent": false}),
            "services[1].paths: `GET /` is defined more than once",
        ),
        (
            "/upstreams/0/address",
            json!("leith:80"),
            "upstreams[0].address: must be an IP address and port, but is `leith:80`",
        ),
        (
            "/upstreams/0/services",
            json!(["mapfront"]),
            "upstream `engine-1`.services: `mapfront` is not defined in this bundle",
        ),
        (
            "/upstreams/0/checks_orderer",
            json!("yes"),
            "upstreams[0].checks_orderer: invalid type: string \"yes\", expected a boolean",
        ),
    ];
    for (pointer, value, expected) in cases {
        let found = error(&with(pointer, value));

        // The line and column depend on the length of the other fields.
        let (found, _) = found.split_once(" at line").unwrap_or((&found, ""));
        expect_that!(found, eq(&format!("bundle: {expected}")), "{pointer}");
    }
}

#[gtest]
fn generation_service_needs_a_model() {
    let mut bundle = bundle();
    let service = bundle.pointer_mut("/services/0").expect("a service");
    service.as_object_mut().expect("an object").remove("model");

    let expected = "bundle: services[0].model: is required for a service of kind `generation`";
    expect_that!(error(&bundle), eq(expected));
}

#[gtest]
fn invalid_json_is_refused() {
    let read = read_bundle(BundleVersion(1), "{\"teams\": [");

    let error = read.expect_err("it is wrong").to_string();
    expect_that!(
        error,
        eq("bundle: teams: EOF while parsing a list at line 1 column 11")
    );
}

/// Two operators write the same bundle with a different order, different white space, and defaults
/// written out. A sign-off of one file must apply to the other.
#[gtest]
fn digest_depends_on_meaning_only() {
    let mut other = with("/teams/0/weight", json!(1));
    for list in ["/teams", "/services"] {
        let items = other.pointer_mut(list).and_then(Value::as_array_mut);
        items.expect("a list").reverse();
    }
    let pretty = serde_json::to_string_pretty(&other).expect("JSON");

    let one = read_bundle(BundleVersion(1), &bundle().to_string()).expect("a valid bundle");
    let two = read_bundle(BundleVersion(1), &pretty).expect("a valid bundle");
    let changed = with("/teams/0/weight", json!(2)).to_string();
    let changed = read_bundle(BundleVersion(1), &changed).expect("a valid bundle");

    expect_that!(one.bundle.digest, eq(two.bundle.digest));
    expect_that!(one.body, eq(&two.body));
    expect_that!(changed.bundle.digest, not(eq(one.bundle.digest)));
    expect_that!(BundleDigest::of(&*one.body), eq(one.bundle.digest));
}

/// An object was altered in the object store, or a peer sends other content. A VM that accepted it
/// would serve a bundle that nobody signed off.
#[gtest]
fn content_of_another_digest_is_refused() {
    let read = read_bundle(BundleVersion(1), &bundle().to_string()).expect("a valid bundle");
    let digest = read.bundle.digest;
    let altered = read.body.replace("10.0.0.1", "10.0.0.2");

    let same = read_canonical(BundleVersion(7), digest, read.body.as_bytes());
    let refused = read_canonical(BundleVersion(7), digest, altered.as_bytes());

    expect_that!(
        same.expect("a valid bundle").bundle.version,
        eq(BundleVersion(7))
    );
    let expected = format!(
        "the bundle's content has the digest {}, not {digest}",
        BundleDigest::of(&altered)
    );
    expect_that!(refused.expect_err("altered").to_string(), eq(&expected));
}
