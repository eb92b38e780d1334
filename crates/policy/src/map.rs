//! Hash tables that are walked in the same order in every run.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, DefaultHasher};

type FixedHash = BuildHasherDefault<DefaultHasher>;

/// A map without random keys, so that the same events give the same decisions.
pub(crate) type FixedMap<K, V> = HashMap<K, V, FixedHash>;
/// A set without random keys.
pub(crate) type FixedSet<K> = HashSet<K, FixedHash>;
