use super::*;
use crate::{bundle_canonical::canonical_bundle, bundle_format::check_bundle, error::BundleError};

/// A parsed and validated bundle.
#[derive(Clone, Debug)]
pub struct ReadBundle {
    /// Bundle with its version and digest.
    pub bundle: Bundle,
    /// Canonical JSON of the bundle.
    pub body: Arc<str>,
}

/// Parses and validates a bundle and converts it to its canonical form.
///
/// # Errors
///
/// Returns an error that names the invalid field and the reason.
pub fn read_bundle(version: BundleVersion, json: &str) -> Result<ReadBundle> {
    let entries = parse_bundle(json)?;
    let (body, digest) = canonical_bundle(&entries);
    let bundle = check_bundle(version, digest, &entries)?;
    Ok(ReadBundle { bundle, body })
}

/// Parses and validates a released bundle from its canonical form.
///
/// # Errors
///
/// Returns an error if the digest of `body` is not `digest`, or if `body` is not a valid bundle.
pub fn read_canonical(
    version: BundleVersion,
    digest: BundleDigest,
    body: &[u8],
) -> Result<ReadBundle> {
    // The digest is that of `body` as it is, since another version of this program may have written
    // it in a different canonical form.
    let found = BundleDigest::of(body);
    if found != digest {
        return Err(Error::BundleDigest {
            expected: digest,
            found,
        });
    }
    let body = std::str::from_utf8(body).map_err(|_| Error::BundleNotUtf8 { digest })?;
    let bundle = check_bundle(version, digest, &parse_bundle(body)?)?;
    Ok(ReadBundle {
        bundle,
        body: body.into(),
    })
}

fn parse_bundle(json: &str) -> Result<bundle_api::Bundle> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let bundle = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        match error.path().to_string().as_str() {
            "." => Error::BundleSyntax {
                source: error.into_inner(),
            },
            field => Error::BundleField {
                field: field.to_owned(),
                source: BundleError::Syntax(error.into_inner()),
            },
        }
    })?;
    reader
        .end()
        .map_err(|source| Error::BundleSyntax { source })?;
    Ok(bundle)
}
