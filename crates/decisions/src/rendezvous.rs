use super::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a candidate for a key by rendezvous hashing; the highest score wins.
///
/// Every process computes the same ranking from the same candidates. Adding or removing a candidate
/// moves only the keys for which it has the highest score.
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Rank of the candidate `own` among `all` by their scores for a key; 0 is the highest score.
#[must_use]
pub fn rank_among(key: &str, own: &str, all: &[Arc<str>]) -> usize {
    let score = rendezvous_score(key, own);
    let others = all.iter().filter(|other| other.as_ref() != own);
    others
        .filter(|other| rendezvous_score(key, other) > score)
        .count()
}

/// Like [`rank_among`], but returns `limit` for every rank from `limit` on, and compares no more candidates than
/// that takes: on average about `limit` times the logarithm of their number.
#[must_use]
pub fn rank_below(limit: usize, key: &str, own: &str, all: &[Arc<str>]) -> usize {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let score = xxh3_64_with_seed(own.as_bytes(), seed);
    let higher = all
        .iter()
        .filter(|other| xxh3_64_with_seed(other.as_bytes(), seed) > score && other.as_ref() != own);
    higher.take(limit).count()
}

/// Sorts candidates by their scores for a key, the highest score first.
pub fn rendezvous_rank<T, N: AsRef<str>>(
    key: &str,
    mut candidates: Vec<T>,
    name: impl Fn(&T) -> N,
) -> Vec<T> {
    candidates.sort_by_cached_key(|candidate| {
        std::cmp::Reverse(rendezvous_score(key, name(candidate).as_ref()))
    });
    candidates
}
