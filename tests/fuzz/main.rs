//! Stateful fuzzing of entries, agents, endpoints, the object API and an operator.
//!
//! Messages are delayed, dropped, doubled and reordered, processes paused and restarted, the
//! object API is down or loses answers. A simple oracle states every promise, and a planted fault
//! for each promise shows that its check can fail.

mod endpoint;
mod found;
mod machine;
mod oracle;
mod planted;
mod store;
mod world;

use machine::Fleet;

proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine::config())]

    #[test]
    fn every_promise_holds(sequential 30..70 => Fleet);
}
