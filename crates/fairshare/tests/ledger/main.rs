//! The ledger: the same bits in whatever order of reports, positions beside a model that sees everything, and the hard cases.

mod extrapolation;
mod merging;
mod pages;
mod refusals;
mod support;
mod valuation;
