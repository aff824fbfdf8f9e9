mod fixture;
mod membership;
mod overload;
mod requests;
