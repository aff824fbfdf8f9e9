//! Reasons for which an endpoint is sent no request.

use displaydoc::Display;

/// Why an endpoint of a request's target is not sent the request now.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exclusion {
    /// left the list, or its zone is out of service
    OutOfService,
    /// its region is not allowed to the route or the customer
    Region,
    /// was tried already
    Tried,
    /// is changing its version
    Switching,
    /// serves no version on which a request may begin
    Version,
    /// changes its version before the request would end
    SwitchingSoon,
    /// paused after failures
    Paused,
    /// leaves, or has asked for a rest
    NotAccepting,
    /// would begin the request after its version ends
    StartsTooLate,
    /// neither reports nor answers
    Silent,
    /// the limit that it names leaves no room
    Limit,
    /// would end the request after this entry stops
    StopsBefore,
}
