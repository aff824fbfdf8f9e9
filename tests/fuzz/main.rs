//! Stateful fuzzing of entries, agents, endpoints, the object API and an operator.
//!
//! Messages are delayed, dropped, duplicated and reordered, processes are paused and restarted, and
//! the object API is down or loses its replies. An oracle checks the invariants after every step.
//! Faults injected against most of the invariants prove that their checks can fail.

mod endpoint;
mod injected_faults;
mod oracle;
mod regressions;
mod scripts;
mod store;
mod world;

use scripts::Fleet;

proptest_state_machine::prop_state_machine! {
    #![proptest_config(scripts::config())]

    #[test]
    fn invariants_hold_in_every_script(sequential 30..70 => Fleet);
}
