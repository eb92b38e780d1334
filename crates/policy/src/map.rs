//! Hash tables whose iteration order is the same in every run.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, DefaultHasher};

type FixedHash = BuildHasherDefault<DefaultHasher>;

/// A map without a random hash seed, so that the same events give the same decisions.
pub(crate) type FixedMap<K, V> = HashMap<K, V, FixedHash>;
/// A set without a random hash seed.
pub(crate) type FixedSet<K> = HashSet<K, FixedHash>;
