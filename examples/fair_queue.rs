//! Uses the fair queue alone, without sockets or a clock.
//!
//! A large customer queues twelve calls before a small one queues two, and the
//! queue still alternates between both. Run it with
//! `cargo run --example fair_queue`.

use std::time::Duration;

use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::request::queue::Class;
use chicoryarch::request::queue::Entry;
use chicoryarch::request::queue::FairQueue;
use chicoryarch::request::queue::Ticket;
use chicoryarch::units::Moment;

fn entry(customer: &str, program: u64, now: Moment) -> Entry {
    Entry {
        customer: customer.parse().expect("a valid name"),
        weight: 1.0,
        program: ProgramId {
            data_centre: "local".parse().expect("a valid name"),
            partition: Partition(0),
            random: program,
        },
        interactive: false,
        cost: Duration::from_millis(500),
        deadline: now + Duration::from_secs(30),
    }
}

fn main() {
    let mut queue = FairQueue::new(QueueConfig::default());
    let now = Moment::from_start(Duration::from_secs(1));
    for program in 0..12 {
        let large = entry("large", program, now);
        queue.join(now, large).expect("there is room");
    }
    for program in 100..102 {
        let small = entry("small", program, now);
        queue.join(now, small).expect("there is room");
    }
    while let Some(ticket) = next_ticket(&queue) {
        let rows = queue.rows();
        let row = rows.iter().find(|row| row.ticket == ticket);
        let row = row.expect("the call waits");
        println!("{} runs {}", row.customer, row.program);
        let charge = queue.start(now, ticket);
        queue.settle(now, &charge, Duration::from_millis(500));
    }
}

fn next_ticket(queue: &FairQueue) -> Option<Ticket> {
    queue.order(Class::Any).next()
}
