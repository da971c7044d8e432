//! Tests of the ledger: equal results for any order of the reports, positions compared with an exact model, extrapolation of
//! missing reports, refused facts, and usage that exceeds the pages of a bucket.

mod extrapolation;
mod merging;
mod pages;
mod refusals;
mod support;
mod valuation;
