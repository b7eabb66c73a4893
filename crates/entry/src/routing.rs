//! Where a call goes: the board's view and the entry's own counts, as the policy's inputs.

use log::Route;
use policy::Candidate;
use units::{Span, Target, Tokens, Version};

use crate::calls::Run;
use crate::refusal::{Refusal, Result};
use crate::traffic::Traffic;

const TOKEN_TIME_DEFAULT: Span = Span(20_000);
const PREFILL_TIME: Span = Span(200);
const LINK_COST: Span = Span::from_ms(24);

/// Chooses an endpoint for the call.
pub(crate) fn choose(
    traffic: &Traffic,
    run: &Run,
    target: &Target,
    worst: Tokens,
    attempt: u32,
    document: Version,
) -> Result<Route> {
    let view = traffic.shared.view.load();
    let serving = |endpoint: &&board::Endpoint| {
        let link = traffic.link(&endpoint.host);
        endpoint.serves.contains(target) && link.is_some_and(|link| !link.is_leaving())
    };
    let endpoints: Vec<&board::Endpoint> = view.endpoints.iter().filter(serving).collect();
    let candidates: Vec<Candidate> = endpoints
        .iter()
        .map(|endpoint| candidate(traffic, run, endpoint))
        .collect();
    let generated = run.request.budget.tokens;
    let request = policy::Request {
        prompt: worst.minus(generated),
        generated,
    };
    let choice = policy::route(&request, &candidates, &mut *traffic.rng.borrow_mut());
    let choice = choice.ok_or(Refusal::NoEndpoint)?;
    let endpoint = endpoints[choice.index];
    Ok(Route {
        entry: traffic.shared.identity.host.clone(),
        endpoint: endpoint.name.clone(),
        sidecar: endpoint.incarnation,
        attempt,
        document,
        why: choice.why.to_string(),
        at: traffic.shared.clock.now(),
    })
}

/// An endpoint as the policy sees it.
fn candidate(traffic: &Traffic, run: &Run, endpoint: &board::Endpoint) -> Candidate {
    let program = run.live.program.borrow();
    let routes = program
        .turns()
        .iter()
        .rev()
        .filter_map(|turn| turn.route.as_ref());
    let last = routes
        .clone()
        .next()
        .filter(|route| route.endpoint == endpoint.name);
    let outstanding = traffic
        .outstanding
        .borrow()
        .get(&endpoint.host)
        .copied()
        .unwrap_or(0);
    let token_time = endpoint.load.token_time;
    let own = &traffic.shared.identity.region;
    Candidate {
        slots: endpoint.slots,
        outstanding,
        reported: endpoint.load.running + endpoint.load.queued,
        cached: last.map_or(Tokens(0), |_| program.context()),
        token_time: if token_time == Span(0) {
            TOKEN_TIME_DEFAULT
        } else {
            token_time
        },
        prefill_time: PREFILL_TIME,
        link_cost: if endpoint.region == *own {
            Span(0)
        } else {
            LINK_COST
        },
    }
}
