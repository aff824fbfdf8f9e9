//! Tests of the dispatcher, without sockets.

mod admission;
mod attempts;
mod backlog;
mod configurations;
mod crashes;
mod endpoint_state;
pub(crate) mod fixture;
mod fuzz;
mod leaving;
mod limits;
mod limits_fuzz;
mod overload;
mod pacing;
mod passes;
mod prompt_parts;
mod prompt_parts_fuzz;
mod ranks;
mod recall;
mod rests;
mod rests_fuzz;
mod shared_places;
mod shared_places_fuzz;
mod silence;
mod silence_fuzz;
mod stop;
mod subsets;
mod versions;
