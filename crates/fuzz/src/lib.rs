//! bolero's generators, fed from fixed seeds: a test has the same verdict each time.
//!
//! bolero's own test engine draws its inputs from the system's randomness, whatever seed it is
//! given besides. Here the n-th input is the n-th input in every run; [`SEED_VARIABLE`] shifts them all, to
//! look further than CI does.

use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Environment variable with the first seed; 0 if it is not set.
pub const SEED_VARIABLE: &str = "CHESTNUTSPUR_FUZZ_SEED";
/// Seeds of two neighbouring starts don't meet.
const START_STRIDE: u64 = 1 << 32;

/// Runs a test on so many values.
///
/// # Panics
/// As the test does, once the seed of the value is printed.
pub fn check<T: TypeGenerator>(values: u64, test: impl Fn(&T)) {
    let start =
        std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    for number in 0..values {
        let rng = ChaCha8Rng::seed_from_u64(start.wrapping_mul(START_STRIDE).wrapping_add(number));
        let mut driver = Rng::new(rng, &Options::default());
        let Some(value) = T::generate(&mut driver) else { continue };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| test(&value))) {
            eprintln!("fuzz: value {number} of start {start} fails");
            resume_unwind(panic);
        }
    }
}
