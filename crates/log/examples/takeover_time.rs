//! Measures the time to seal a log and to read its histories, by the log's length and the store's
//! response time, on a platform stand-in in this process:
//! `cargo run --release -p program-log --example takeover_time`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use program_log::{Event, Record, SealOutcome, Writer};
use store::Client;
use units::{Incarnation, Program, Span, Tokens};

const BATCH_COUNTS: [u64; 3] = [100, 1_000, 10_000];
const RECORDS_PER_BATCH: u64 = 20;
const RESPONSE_TIMES_MS: [u64; 2] = [0, 24];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("{RECORDS_PER_BATCH} records per batch");
    println!("batches  store ms  seal ms  read ms  from objects ms");
    for slow_ms in RESPONSE_TIMES_MS {
        for batches in BATCH_COUNTS {
            smol::block_on(measure(batches, slow_ms))?;
        }
    }
    Ok(())
}

async fn measure(batches: u64, slow_ms: u64) -> Result<(), Box<dyn std::error::Error>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = standins::platform::start(any, Vec::new())?;
    let client = Client::new(platform::Client::new(service.address), Span::from_ms(5_000));
    let (old, new) = (Incarnation(1), Incarnation(2));
    for writer in [old, new] {
        let row = Writer::new(writer, "entry-0".parse()?, service.address);
        let (log, handle) = program_log::open(client.clone(), writer, row).await?;
        let count = if writer == old { batches } else { 0 };
        let write = async {
            for batch in 0..count {
                handle.append(records(old, batch)).await?;
            }
            drop(handle);
            Ok::<(), program_log::Error>(())
        };
        let (run, written) = futures_util::join!(log.run(), write);
        run?;
        written?;
    }
    service.state().knobs.slow_ms = slow_ms;
    let start = Instant::now();
    let found = program_log::read_writer(&client, old)
        .await?
        .ok_or("no log")?;
    let sealing = program_log::seal_log(&client, &found, new).await?;
    assert_eq!(sealing, SealOutcome::Sealed(new));
    let sealed = start.elapsed();
    let histories = program_log::read_histories(&client, old).await?;
    let read = start.elapsed() - sealed;
    assert_eq!(histories.len() as u64, RECORDS_PER_BATCH);
    service.state().knobs.slow_ms = 0;
    program_log::compact_all(&client, old).await?;
    service.state().knobs.slow_ms = slow_ms;
    let start = Instant::now();
    program_log::read_histories(&client, old).await?;
    let packed = start.elapsed();
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let (sealed, read, packed) = (ms(sealed), ms(read), ms(packed));
    println!("{batches:>7}  {slow_ms:>8}  {sealed:>7.1}  {read:>7.1}  {packed:>15.1}");
    Ok(())
}

/// Returns the records of a batch: one for each program of the log.
fn records(origin: Incarnation, batch: u64) -> Vec<Record> {
    let record = |number| Record {
        program: Program { origin, number },
        event: Event::Tranche(Tokens(batch)),
    };
    (0..RECORDS_PER_BATCH).map(record).collect()
}
