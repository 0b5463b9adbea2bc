use super::*;

/// Maximum number of bodies kept of a crash.
const MAX_TAGS: usize = 4;

/// Short digests of the bodies of some calls.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BodyTags(Vec<u32>);

impl BodyTags {
    /// The tag of one body.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the lower half of a hash is a hash"
    )]
    pub fn of(body: u64) -> Self {
        Self(vec![body as u32])
    }

    /// Adds the tags of `other` as long as there is room; returns whether any was new.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        let before = self.0.len();
        for tag in &other.0 {
            if self.0.len() < MAX_TAGS && !self.0.contains(tag) {
                self.0.push(*tag);
            }
        }
        self.0.len() > before
    }

    /// Whether some body is in both.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.0.iter().any(|tag| other.0.contains(tag))
    }

    /// Whether one body is in all of these.
    pub(crate) fn have_common<'a>(mut all: impl Iterator<Item = &'a Self> + Clone) -> bool {
        let Some(first) = all.next() else {
            return false;
        };
        let is_common = |tag: &u32| all.clone().all(|tags| tags.0.contains(tag));
        first.0.iter().any(is_common)
    }
}
