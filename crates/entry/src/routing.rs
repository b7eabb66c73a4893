//! Choice of endpoints: the policy's inputs are the board's view and this entry's observations.

use std::cell::RefCell;
use std::sync::Arc;

use board::View;
use log::Route;
use policy::{
    AdmissionControl, EndpointInfo, Fleet, HedgeBudget, Rank, RankFactors, Settings, Ticket,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::warn;
use units::{Host, Span, Target, Tokens, Version};

use crate::calls::Run;
use crate::live::LiveProgram;
use crate::refusal::{Refusal, Result};
use crate::traffic::Traffic;

/// Longest wait of a call for a lost connection: as long as opening a connection may take.
const RECONNECT_WAIT: Span = wire::connection::CONNECT_TIMEOUT;
/// Short compared with the duration of a call.
const RECONNECT_POLL_INTERVAL: Span = Span::from_ms(10);
const CROSS_REGION_ROUND_TRIP: Span = Span::from_ms(24);
const BYTES_PER_TOKEN: u64 = 4;

/// State of the policy at this entry.
pub(crate) struct Routing {
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) admission: RefCell<AdmissionControl>,
    pub(crate) hedge_budget: RefCell<HedgeBudget>,
    pub(crate) rng: RefCell<StdRng>,
    synced_view: RefCell<Option<Arc<View>>>,
}

impl Routing {
    pub(crate) fn new() -> Self {
        Routing {
            fleet: RefCell::new(Fleet::new(Settings::default())),
            admission: RefCell::new(AdmissionControl::new()),
            hedge_budget: RefCell::new(HedgeBudget::new()),
            rng: RefCell::new(StdRng::from_os_rng()),
            synced_view: RefCell::default(),
        }
    }

    /// Has the endpoints updated from the board's view before the next choice.
    pub(crate) fn invalidate(&self) {
        self.synced_view.borrow_mut().take();
    }
}

/// A chosen endpoint.
pub(crate) struct Choice {
    pub(crate) route: Route,
    pub(crate) ticket: Ticket,
}

/// Describes a call to the policy.
pub(crate) fn policy_request(run: &Run, target: &Target, is_model: bool) -> policy::Request {
    let program = run.live.program.borrow();
    let added = Tokens((run.request.input.len() as u64).div_ceil(BYTES_PER_TOKEN));
    let (prompt, generated_max) = if is_model {
        (program.context().plus(added), run.request.budget.tokens)
    } else {
        (Tokens(0), Tokens(1))
    };
    policy::Request {
        program: run.live.id,
        target: target.clone(),
        prompt,
        generated_max,
    }
}

/// Chooses an endpoint for the call, other than `excluded` if possible. If the connections to all
/// suitable endpoints were just lost, waits for a new one, which mostly opens in milliseconds.
pub(crate) async fn choose(
    traffic: &Traffic,
    run: &Run,
    request: &policy::Request,
    excluded: Option<&Host>,
    document: Version,
) -> Result<Choice> {
    let wait_end = traffic.shared.clock.now().after(RECONNECT_WAIT);
    loop {
        let chosen = try_choose(traffic, run, request, excluded, document);
        let found_none = matches!(chosen, Err(Refusal::NoEndpoint));
        let now = traffic.shared.clock.now();
        if !found_none || now >= wait_end || !may_reconnect(traffic, &request.target) {
            return chosen;
        }
        smol::Timer::after(RECONNECT_POLL_INTERVAL.into()).await;
    }
}

/// Whether an unreachable endpoint of a target is expected back: the platform lists its host and
/// does not list it as leaving.
fn may_reconnect(traffic: &Traffic, target: &Target) -> bool {
    let view = traffic.shared.view.load();
    let fleet = traffic.routing.fleet.borrow();
    let mut hosts = fleet.hosts_serving(target);
    hosts.any(|host| {
        let mut listed = view.hosts.iter();
        listed.any(|info| info.host == *host && !info.leaving)
    })
}

/// Chooses an endpoint for the call from those reachable now, other than `excluded` if possible.
pub(crate) fn try_choose(
    traffic: &Traffic,
    run: &Run,
    request: &policy::Request,
    excluded: Option<&Host>,
    document: Version,
) -> Result<Choice> {
    sync_fleet(traffic);
    let routing = &traffic.routing;
    let now = traffic.shared.clock.now();
    let route = |excluded| {
        let mut rng = routing.rng.borrow_mut();
        let mut fleet = routing.fleet.borrow_mut();
        fleet.route(request, excluded, now, &mut *rng)
    };
    // If a target has only one endpoint, that one is tried again.
    let mut ticket = route(excluded).or_else(|| route(None));
    if ticket
        .as_ref()
        .is_some_and(|ticket| !is_usable(traffic, &ticket.host))
    {
        // The state of the connection is more recent than the board's view.
        routing.synced_view.borrow_mut().take();
        sync_fleet(traffic);
        ticket = route(excluded).or_else(|| route(None));
    }
    let Some(ticket) = ticket else {
        log_no_endpoint(traffic, request);
        return Err(Refusal::NoEndpoint);
    };
    let view = traffic.shared.view.load();
    let endpoint = view
        .endpoints
        .iter()
        .find(|endpoint| endpoint.host == ticket.host)
        .ok_or(Refusal::NoEndpoint)?;
    let route = Route {
        entry: traffic.shared.identity.host.clone(),
        endpoint: endpoint.name.clone(),
        sidecar: endpoint.incarnation,
        attempt: run.live.program.borrow_mut().next_attempt(),
        document,
        why: ticket.reason.to_string(),
        at: now,
    };
    Ok(Choice { route, ticket })
}

/// Admits a new program of a class, or refuses it before any of its calls have run.
pub(crate) fn admit(traffic: &Traffic, class: &settings::Class) -> Result<()> {
    sync_fleet(traffic);
    let routing = &traffic.routing;
    let fleet = routing.fleet.borrow();
    let admitted = routing.admission.borrow_mut().admit(
        class.precedence,
        fleet.slot_share(),
        class.objective,
        fleet.settings().admission,
        &mut *routing.rng.borrow_mut(),
    );
    admitted.map_err(Refusal::Overloaded)
}

/// Counts a program as under way.
pub(crate) fn add_program(traffic: &Traffic, live: &LiveProgram) {
    let program = live.program.borrow();
    if program.ended().is_none() {
        let precedence = precedence(traffic, &program.created().class);
        traffic.routing.admission.borrow_mut().begin(precedence);
    }
}

/// Removes a program that another entry now owns.
pub(crate) fn remove_moved(traffic: &Traffic, live: &LiveProgram) {
    if live.program.borrow().ended().is_none() {
        traffic.routing.fleet.borrow_mut().forget(live.id);
        let precedence = precedence(traffic, &live.program.borrow().created().class);
        traffic.routing.admission.borrow_mut().remove(precedence);
    }
}

/// Removes a program that has ended.
pub(crate) fn remove_ended(traffic: &Traffic, live: &LiveProgram) {
    let work = traffic.routing.fleet.borrow_mut().forget(live.id);
    let precedence = precedence(traffic, &live.program.borrow().created().class);
    traffic.routing.admission.borrow_mut().end(precedence, work);
}

/// The rank of a call in the sidecar's queue; lower ranks are served first.
pub(crate) fn rank(traffic: &Traffic, run: &Run) -> u64 {
    let program = run.live.program.borrow();
    let created = program.created();
    let fleet = traffic.routing.fleet.borrow();
    let factors = RankFactors {
        precedence: precedence(traffic, &created.class),
        objective: objective(traffic, &created.class),
        attained: fleet.attained(run.live.id),
        started_at: created.at,
    };
    Rank::new(fleet.settings(), &factors, traffic.shared.clock.now()).value()
}

/// The precedence of a class in the document in force; 0 if the document has no such class.
pub(crate) fn precedence(traffic: &Traffic, class: &units::Class) -> u32 {
    let environment = traffic.shared.view.load().environment.clone();
    let class = environment.and_then(|env| env.document.classes.get(class).cloned());
    class.map_or(0, |class| class.precedence)
}

/// The time within which programs of a class should be completed.
fn objective(traffic: &Traffic, class: &units::Class) -> Span {
    let environment = traffic.shared.view.load().environment.clone();
    let class = environment.and_then(|env| env.document.classes.get(class).cloned());
    class.map_or(Span(0), |class| class.objective)
}

/// Whether a sidecar is connected and accepts new work.
fn is_usable(traffic: &Traffic, host: &Host) -> bool {
    let link = traffic.link_to_host(host);
    link.is_some_and(|link| !link.is_leaving())
}

/// Logs the state of a target's endpoints when none of them can be chosen.
fn log_no_endpoint(traffic: &Traffic, request: &policy::Request) {
    let view = traffic.shared.view.load();
    let serving = view.endpoints.iter();
    let serving = serving.filter(|endpoint| endpoint.serves.contains(&request.target));
    let (usable, unusable): (Vec<_>, Vec<_>) =
        serving.partition(|endpoint| is_usable(traffic, &endpoint.host));
    warn!(traffic.shared.logger, "no endpoint to choose"; "program" => %request.program,
        "target" => %request.target, "usable" => usable.len(), "unusable" => unusable.len(),
        "endpoints" => view.endpoints.len(), "connections" => traffic.links.borrow().len(),
        "hosts_listed" => view.hosts.len());
}

/// Updates the policy's endpoints from the board's view, if the view has changed.
fn sync_fleet(traffic: &Traffic) {
    let view = traffic.shared.view.load_full();
    let mut synced_view = traffic.routing.synced_view.borrow_mut();
    if synced_view
        .as_ref()
        .is_some_and(|old| Arc::ptr_eq(old, &view))
    {
        return;
    }
    let mut fleet = traffic.routing.fleet.borrow_mut();
    if let Some(environment) = &view.environment {
        fleet.configure(environment.document.policy.settings);
    }
    let own_region = &traffic.shared.identity.region;
    let usable = view
        .endpoints
        .iter()
        .filter(|endpoint| is_usable(traffic, &endpoint.host));
    fleet.sync(usable.map(|endpoint| EndpointInfo {
        host: endpoint.host.clone(),
        serves: endpoint.serves.clone(),
        slots: endpoint.slots,
        link_round_trip: if endpoint.region == *own_region {
            Span(0)
        } else {
            CROSS_REGION_ROUND_TRIP
        },
        is_model: is_model(&view, endpoint),
    }));
    for endpoint in &view.endpoints {
        let calls = endpoint.load.running + endpoint.load.queued;
        fleet.record_load(&endpoint.host, calls);
    }
    *synced_view = Some(view.clone());
}

fn is_model(view: &View, endpoint: &board::Endpoint) -> bool {
    let environment = view.environment.as_ref();
    environment.is_some_and(|environment| {
        let models = &environment.document.models;
        endpoint
            .serves
            .iter()
            .any(|target| models.contains_key(target))
    })
}
