//! Rendezvous hashing, by which instances with equal views agree on the holder of each role.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the weight of `candidate` for `role`; the candidate with the highest one is the holder.
pub fn weight<R, C>(role: &R, candidate: &C) -> u64
where
    R: Hash,
    C: Hash,
{
    let mut hasher = DefaultHasher::new();
    role.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// Returns the candidate that holds `role`, or `None` if there are no candidates.
pub fn holder<'a, R, C, I>(role: &R, candidates: I) -> Option<&'a C>
where
    R: Hash,
    C: Hash + Ord,
    I: IntoIterator<Item = &'a C>,
{
    candidates.into_iter().max_by_key(|candidate| (weight(role, *candidate), *candidate))
}
