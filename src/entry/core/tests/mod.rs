mod fixture;
mod keyed;
mod membership;
mod overload;
mod placement;
mod quarantine;
mod requests;
