//! Runs a workload over real processes: entries and sidecars of the shipped binary on loopback, with
//! stand-ins of engines, services and the platform in this process.
//!
//! The link between the regions is not delayed here, and its bytes are not counted.

mod caller;
mod cluster;

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::LocalExecutor;
use units::{Span, Time};

use crate::outcome::{Outcome, Run};
use crate::variant::Variant;
use crate::workload::{Plan, Shape, Step, TOKEN_TIME, Workload};
use caller::Caller;
use cluster::Cluster;

pub use cluster::{Error, Result};

const DRAIN_MAX: Span = Span::from_ms(60_000);

/// Runs a workload under a policy with the binary at `binary`.
///
/// # Errors
/// If the processes cannot be started or do not find each other.
pub fn run(binary: &Path, shape: &Shape, workload: &Workload, variant: &Variant) -> Result<Run> {
    let cluster = Cluster::start(binary, shape, variant)?;
    let executor = Rc::new(LocalExecutor::new());
    let start = Instant::now();
    let served = smol::block_on(executor.run(drive(&executor, &cluster, workload, start)));
    let mut run = Run::default();
    for (plan, (served, refusals)) in workload.plans.iter().zip(served) {
        run.outcomes.push(Outcome::new(plan, served));
        run.refusals += refusals;
    }
    count(&cluster, workload, &mut run);
    cluster.close();
    Ok(run)
}

/// Sends all programs at their times; when each was done, if it was, and its refusals.
async fn drive(
    executor: &Rc<LocalExecutor<'static>>,
    cluster: &Cluster,
    workload: &Workload,
    start: Instant,
) -> Vec<(Option<Time>, u64)> {
    let slow = cluster.slow(workload.windows.clone(), start);
    executor.spawn(slow).detach();
    let mut tasks = Vec::new();
    for (number, plan) in workload.plans.iter().enumerate() {
        let address = cluster.caller_address(plan.region, number);
        let caller = Caller::new(executor.clone(), address, start);
        tasks.push(executor.spawn(one(caller, plan.clone(), start)));
    }
    let mut served = Vec::new();
    for task in tasks {
        served.push(task.await);
    }
    served
}

async fn one(caller: Caller, plan: Plan, start: Instant) -> (Option<Time>, u64) {
    smol::Timer::at(start + Duration::from_micros(plan.at.0)).await;
    let expire = async {
        smol::Timer::after(DRAIN_MAX.into()).await;
        (None, 0)
    };
    smol::future::or(caller.run(plan), expire).await
}

/// Counts what the engines did beyond what the programs needed.
fn count(cluster: &Cluster, workload: &Workload, run: &mut Run) {
    let (mut input, mut generated) = (0, 0);
    for plan in &workload.plans {
        needs(&plan.steps, &mut input, &mut generated);
    }
    let done = cluster.totals();
    run.prefilled = done.prefilled;
    run.wasted = done.prefilled.saturating_sub(input);
    run.work = generated * TOKEN_TIME.0;
    run.extra = done.generated.saturating_sub(generated) * TOKEN_TIME.0;
    run.hedges = 0;
}

fn needs(steps: &[Step], input: &mut u64, generated: &mut u64) {
    for step in steps {
        match step {
            Step::Model {
                input: tokens,
                answer,
            } => {
                *input += tokens.0;
                *generated += answer.0;
            }
            Step::Children(all) => all.iter().for_each(|steps| needs(steps, input, generated)),
            Step::Service { .. } | Step::Pause(_) => {}
        }
    }
}
