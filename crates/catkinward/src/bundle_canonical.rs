use super::*;

/// Returns the canonical form of a bundle and its digest.
///
/// Two files of equal meaning may differ in white space, in the order of lists, or in whether they
/// write out defaults. A sign-off applies to the meaning, so the digest is computed over one form:
/// compact JSON with sorted lists and all defaults.
pub(crate) fn canonical_bundle(bundle: &bundle_api::Bundle) -> (Arc<str>, BundleDigest) {
    let mut bundle = bundle.clone();
    bundle.teams.sort_by(|a, b| a.name.cmp(&b.name));
    bundle.services.sort_by(|a, b| a.name.cmp(&b.name));
    bundle.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
    for service in &mut bundle.services {
        service.teams.sort();
        service
            .paths
            .sort_by(|a, b| (&a.method, &a.prefix).cmp(&(&b.method, &b.prefix)));
    }
    for upstream in &mut bundle.upstreams {
        upstream.services.sort();
    }
    let json = serde_json::to_string(&bundle).expect("API types have only string keys");
    let digest = BundleDigest::of(&json);
    (json.into(), digest)
}
