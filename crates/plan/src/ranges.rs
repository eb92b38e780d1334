//! Sets of indices as ranges, which stay small while nearly all indices are in the set.

use serde::{Deserialize, Serialize};

/// Set of indices, stored as pairs of first and last index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IndexRanges {
    /// Ranges in ascending order, with a gap between any two.
    ranges: Vec<(u32, u32)>,
}

impl IndexRanges {
    /// Returns whether the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether an index is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        self.last_of_range(index).is_some()
    }

    /// Returns the lowest index from `index` on that is not in the set; `u32::MAX` if there is none.
    #[must_use]
    pub fn next_missing(&self, index: u32) -> u32 {
        self.last_of_range(index).map_or(index, |last| last.saturating_add(1))
    }

    /// Returns the last index of the range that holds an index.
    fn last_of_range(&self, index: u32) -> Option<u32> {
        let position = self.ranges.partition_point(|(_, last)| *last < index);
        let (first, last) = self.ranges.get(position)?;
        (*first <= index).then_some(*last)
    }

    /// Adds an index and joins the ranges that it connects.
    pub fn insert(&mut self, index: u32) {
        if self.contains(index) {
            return;
        }
        let position = self.ranges.partition_point(|(_, last)| *last < index);
        let (before, after) = (index.checked_sub(1), index.checked_add(1));
        let joins_next = self.ranges.get(position).is_some_and(|(first, _)| Some(*first) == after);
        let joins_previous =
            position.checked_sub(1).is_some_and(|previous| Some(self.ranges[previous].1) == before);
        match (joins_previous, joins_next) {
            (true, true) => {
                let (_, last) = self.ranges.remove(position);
                self.ranges[position - 1].1 = last;
            }
            (true, false) => self.ranges[position - 1].1 = index,
            (false, true) => self.ranges[position].0 = index,
            (false, false) => self.ranges.insert(position, (index, index)),
        }
    }
}
