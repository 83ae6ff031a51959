//! Tests of the fair queue, of the choice of endpoints and of their async
//! driver.

mod driver;
mod fixtures;
mod place;
mod queue;
mod random;
