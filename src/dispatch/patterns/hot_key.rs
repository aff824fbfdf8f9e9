//! A hot key, or any rush of like requests: entries that all see the same best endpoint would all
//! choose it. Each compares a few endpoints drawn at random instead.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::dispatch::Endpoint;

/// Endpoints that are compared for one request: with five, free places were missed on the standard
/// days; with twelve, 16 entries on 58 engines still look at different ones.
const SAMPLE_SIZE: usize = 12;

/// The endpoints to compare, of those that fit.
pub(in crate::dispatch) fn sample<'a>(
    fitting: &[&'a Endpoint],
    rng: &mut SmallRng,
) -> Vec<&'a Endpoint> {
    fitting.choose_multiple(rng, SAMPLE_SIZE).copied().collect()
}
