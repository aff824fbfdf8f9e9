//! Small stand-ins for the platform and for endpoints, for tests and measurements only.
