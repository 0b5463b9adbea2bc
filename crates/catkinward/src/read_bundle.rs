use super::*;
use crate::{bundle_canonical::canonical_bundle, bundle_format::check_bundle, error::BundleError};

/// A bundle that was read and checked.
#[derive(Clone, Debug)]
pub struct ReadBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// Its canonical form.
    pub body: Arc<str>,
}

/// Reads and checks a bundle, and brings it into its canonical form.
///
/// # Errors
///
/// Names the field that is wrong, and how.
pub fn read_bundle(version: BundleVersion, json: &str) -> Result<ReadBundle> {
    let entries = parse_bundle(json)?;
    let (body, digest) = canonical_bundle(&entries);
    let bundle = check_bundle(version, digest, &entries)?;
    Ok(ReadBundle { bundle, body })
}

/// Reads and checks the canonical form of a release. Its digest is that of the text itself, which
/// another version of this program may have written.
///
/// # Errors
///
/// If the text has another digest, or is no bundle.
pub fn read_canonical(
    version: BundleVersion,
    digest: BundleDigest,
    body: &[u8],
) -> Result<ReadBundle> {
    let found = BundleDigest::of(body);
    if found != digest {
        return Err(Error::BundleDigest {
            expected: digest,
            found,
        });
    }
    let body = std::str::from_utf8(body).map_err(|_| Error::BundleText { digest })?;
    let bundle = check_bundle(version, digest, &parse_bundle(body)?)?;
    Ok(ReadBundle {
        bundle,
        body: body.into(),
    })
}

fn parse_bundle(json: &str) -> Result<bundle_api::Bundle> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let bundle = serde_path_to_error::deserialize(&mut reader).map_err(|fault| {
        match fault.path().to_string().as_str() {
            "." => Error::BundleSyntax {
                source: fault.into_inner(),
            },
            field => Error::BundleField {
                field: field.to_owned(),
                source: BundleError::Syntax(fault.into_inner()),
            },
        }
    })?;
    reader
        .end()
        .map_err(|source| Error::BundleSyntax { source })?;
    Ok(bundle)
}
