//! Test inputs from bolero's generators with fixed seeds, so that a test has the same result in
//! each run.
//!
//! bolero's own test engine draws inputs from the system's random source even when a seed is given.
//! Here the n-th input is the same in every run. [`SEED_VARIABLE`] selects another sequence of
//! inputs, to test more than CI does.

use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Environment variable with the number of the input sequence; 0 if it is not set or not a number.
pub const SEED_VARIABLE: &str = "CHESTNUTSPUR_FUZZ_SEED";
/// Distance between the seeds of two sequences, so that neighbouring sequences don't overlap.
const SEQUENCE_STRIDE: u64 = 1 << 32;

/// Runs a test on the first `values` inputs of the sequence.
///
/// # Panics
/// When the test panics, with the same panic, after printing which input of which sequence failed.
pub fn check<T: TypeGenerator>(values: u64, test: impl Fn(&T)) {
    let sequence =
        std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    for number in 0..values {
        let rng =
            ChaCha8Rng::seed_from_u64(sequence.wrapping_mul(SEQUENCE_STRIDE).wrapping_add(number));
        let mut driver = Rng::new(rng, &Options::default());
        let Some(value) = T::generate(&mut driver) else { continue };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| test(&value))) {
            eprintln!("fuzz: input {number} of sequence {sequence} fails");
            resume_unwind(panic);
        }
    }
}
