//! Network partitions: the members of each side, and the pairs of sides that are cut off from each other.

/// The members on one side of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionSide {
    /// Dispatchers.
    pub dispatchers: Vec<usize>,
    /// Workers.
    pub workers: Vec<usize>,
    /// Whether the discovery service is on this side.
    pub has_discovery: bool,
}

/// Two sides of a partition; all traffic from the first to the second is cut.
pub(super) struct CutSides<'a, T> {
    pub(super) from: &'a T,
    pub(super) to: &'a T,
}

/// Every ordered pair of different sides.
pub(super) fn cut_sides<T>(sides: &[T]) -> impl Iterator<Item = CutSides<'_, T>> {
    sides.iter().enumerate().flat_map(move |(first, from)| {
        let others = sides.iter().enumerate().filter(move |(second, _)| *second != first);
        others.map(move |(_, to)| CutSides { from, to })
    })
}
