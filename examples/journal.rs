//! Uses a journal without sockets: a once-only call, its retry and a takeover.
//!
//! Run it with `cargo run --example journal`.

use std::time::Duration;

use async_io::block_on;
use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::Epoch;
use chicoryarch::process::journals::BeginOutcome;
use chicoryarch::process::journals::Journals;
use chicoryarch::request::outcome::Refusal;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::journal::CallEnd;
use chicoryarch::version::journal::CallSpec;
use chicoryarch::version::journal::Digest;
use chicoryarch::version::journal::Once;
use chicoryarch::version::journal::Outcome;
use chicoryarch::version::journal::PartitionId;
use chicoryarch::version::journal::Scope;
use chicoryarch::version::journal::StoredAnswer;
use chicoryarch::version::journal::partition_of_key;
use chicoryarch_net::Spawner;

/// Partitions of each data centre.
const PARTITIONS: u16 = 8;

fn main() {
    block_on(run());
}

async fn run() {
    let customer: CustomerId = "acme".parse().expect("a name");
    let data_centres: [DataCentre; 1] = ["dc-1".parse().expect("a name")];
    let partition = partition_of_key(&customer, "invoice-17", &data_centres, PARTITIONS)
        .expect("there is a data centre");

    let platform = MemoryPlatform::default();
    let first = start_host(&platform, &partition, Epoch(1)).await;
    print_result(create_invoice(&first, &customer, &partition).await);
    print_result(create_invoice(&first, &customer, &partition).await);

    let second = start_host(&platform, &partition, Epoch(2)).await;
    print_result(create_invoice(&second, &customer, &partition).await);
}

/// Starts the journals of a host that takes over the partition.
async fn start_host(
    platform: &MemoryPlatform,
    partition: &PartitionId,
    epoch: Epoch,
) -> Journals<MemoryPlatform> {
    let journals = Journals::new(
        platform.clone(),
        JournalConfig::default(),
        Spawner::start(1),
    );
    let acquired = journals.acquire(partition, epoch).await;
    acquired.expect("the epoch is the highest");
    journals
}

/// Creates an invoice at most once, regardless of the number of calls.
async fn create_invoice(
    journals: &Journals<MemoryPlatform>,
    customer: &CustomerId,
    partition: &PartitionId,
) -> Result<String, Refusal> {
    let once = Once {
        key: "invoice-17".to_owned(),
        body: Digest::of(b"17 crates"),
    };
    let spec = CallSpec {
        scope: Scope::Single(partition.clone()),
        customer: customer.clone(),
        ordinal: None,
        max_cost: Tokens(1),
        once: Some(once),
        repeatable: false,
        deadline: Moment::now() + Duration::from_secs(5),
    };
    let ticket = match journals.begin(spec).await? {
        BeginOutcome::Replay(answer) => return Ok(format!("replayed: {}", text(&answer))),
        BeginOutcome::Run(ticket) => ticket,
    };
    journals.check_dispatch(&ticket)?;
    // A real host calls the endpoint here and sends the ticket's epoch.
    let answer = StoredAnswer {
        status: 201,
        content_type: None,
        body: format!("invoice at epoch {}", ticket.epoch()).into_bytes(),
    };
    let line = format!("ran: {}", text(&answer));
    let end = CallEnd {
        cost: Tokens(1),
        outcome: Outcome::Answered(answer),
    };
    let durability = journals.finish(ticket, end).await;
    Ok(format!("{line} ({durability:?})"))
}

fn text(answer: &StoredAnswer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

fn print_result(result: Result<String, Refusal>) {
    match result {
        Ok(line) => println!("{line}"),
        Err(refusal) => println!("refused, {}: {}", refusal.ran.as_str(), refusal.detail),
    }
}
