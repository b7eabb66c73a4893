//! Runs a workload over real processes: entries and sidecars of the shipped binary on loopback, with
//! stand-ins for engines, services and the platform in this process.
//!
//! The link between the regions has no added latency here, and its bytes are not counted.

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

const PROGRAM_TIMEOUT: Span = Span::from_ms(60_000);

/// Runs a workload under a policy with the binary at `binary`.
///
/// # Errors
/// If the processes cannot be started, refuse the environment document, or are not ready in time.
pub fn run(binary: &Path, shape: &Shape, workload: &Workload, variant: &Variant) -> Result<Run> {
    let cluster = Cluster::start(binary, shape, variant)?;
    let executor = Rc::new(LocalExecutor::new());
    let start = Instant::now();
    let results = smol::block_on(executor.run(run_programs(&executor, &cluster, workload, start)));
    let mut run = Run::default();
    for (plan, (finished_at, refusals)) in workload.plans.iter().zip(results) {
        run.outcomes.push(Outcome::new(plan, finished_at));
        run.refusals += refusals;
    }
    record_work(&cluster, workload, &mut run);
    cluster.stop();
    Ok(run)
}

/// Starts each program at its arrival time; returns when each finished, if it did, and its number of
/// refusals.
async fn run_programs(
    executor: &Rc<LocalExecutor<'static>>,
    cluster: &Cluster,
    workload: &Workload,
    start: Instant,
) -> Vec<(Option<Time>, u64)> {
    let slow_periods = cluster.apply_slow_periods(workload.slow_periods.clone(), start);
    executor.spawn(slow_periods).detach();
    let mut tasks = Vec::new();
    for (index, plan) in workload.plans.iter().enumerate() {
        let address = cluster.caller_address(plan.region, index);
        let caller = Caller::new(executor.clone(), address, start);
        tasks.push(executor.spawn(run_program(caller, plan.clone(), start)));
    }
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await);
    }
    results
}

async fn run_program(caller: Caller, plan: Plan, start: Instant) -> (Option<Time>, u64) {
    smol::Timer::at(start + Duration::from_micros(plan.arrival.0)).await;
    let timeout = async {
        smol::Timer::after(PROGRAM_TIMEOUT.into()).await;
        (None, 0)
    };
    smol::future::or(caller.run(plan), timeout).await
}

/// Records the work that the programs need, and how much more the engines did.
fn record_work(cluster: &Cluster, workload: &Workload, run: &mut Run) {
    let (mut input, mut answer) = (0, 0);
    for plan in &workload.plans {
        add_required_tokens(&plan.steps, &mut input, &mut answer);
    }
    let totals = cluster.totals();
    run.computed_prompt_tokens = totals.computed_prompt_tokens;
    run.wasted_prompt_tokens = totals.computed_prompt_tokens.saturating_sub(input);
    run.work_us = answer * TOKEN_TIME.0;
    run.extra_work_us = totals.generated_tokens.saturating_sub(answer) * TOKEN_TIME.0;
    run.hedges = 0;
}

fn add_required_tokens(steps: &[Step], input_sum: &mut u64, answer_sum: &mut u64) {
    for step in steps {
        match step {
            Step::Model { input, answer } => {
                *input_sum += input.0;
                *answer_sum += answer.0;
            }
            Step::Children(children) => children
                .iter()
                .for_each(|steps| add_required_tokens(steps, input_sum, answer_sum)),
            Step::Service { .. } | Step::Pause(_) => {}
        }
    }
}
