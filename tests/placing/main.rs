//! Tests of the fair queue, the choice of endpoints and the driver of both.

mod driver;
mod place;
mod queue;
mod random;
mod world;
