//! State shared by all tasks of a gateway.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};

use arc_swap::{ArcSwap, ArcSwapOption};
use compact_str::CompactString;
use event_listener::Event;
use intake::{Clients, Gate, Listener, Monitor};
use memory::Limiter;
use policy::{Balancer, Candidate, IdleLimit, Sender, TransferCost};
use settings::Machine;
use slog::{Logger, info};
use smol::net::TcpListener;
use store::api::Row;
use telemetry::Metrics;
use units::{Clock, Incarnation, Span, Time, Zone};

use crate::buffers::Buffers;
use crate::caps::Caps;
use crate::crashes::Crashes;
use crate::dialect::Adapter;
use crate::endpoints::{Endpoints, Member};
use crate::environment::Environment;
use crate::history::Histories;
use crate::peers::Peers;
use crate::programs::Programs;
use crate::replica::Replica;
use crate::reply::Refusal;
use crate::rows::Rows;
use crate::stop::Stop;
use crate::streams::Streams;

/// Transfer cost per kilobyte sent to another availability zone, added to the expected latency:
/// traffic between zones is billed, and a prompt has a size of some kilobytes.
const CROSS_ZONE_COST_PER_KB: Span = Span::from_ms(3);
/// Transfer cost per request sent to another region: the round trip.
const CROSS_REGION_COST_PER_REQUEST: Span = Span::from_ms(30);
/// Transfer cost per kilobyte sent to another region: traffic is billed, and the link is narrow.
const CROSS_REGION_COST_PER_KB: Span = Span::from_ms(4);
/// Transfer cost per request sent to another availability zone: the round trip.
const CROSS_ZONE_COST_PER_REQUEST: Span = Span::from_ms(2);

/// State of a gateway process.
pub(crate) struct Shared {
    pub(crate) adapter: Adapter,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
    pub(crate) machine: Machine,
    /// Identifies this start of the process.
    pub(crate) incarnation: Incarnation,
    pub(crate) rows: Arc<Rows>,
    pub(crate) peers: Peers,
    pub(crate) replica: Arc<Replica>,
    pub(crate) programs: Arc<Programs>,
    pub(crate) caps: Arc<Caps>,
    pub(crate) histories: Arc<Histories>,
    pub(crate) crashes: Crashes,
    pub(crate) streams: Arc<Streams>,
    /// Limits the memory of all that is held beside that.
    pub(crate) limiter: Arc<Limiter>,
    pub(crate) buffers: Buffers,
    /// What callers make this host hold.
    pub(crate) gate: Arc<Gate>,
    stop: OnceLock<Stop>,
    /// Notified when the stop is requested.
    stop_requested: Event,
    pub(crate) connections: AtomicUsize,
    settings: ArcSwap<settings::Gateway>,
    environment: ArcSwapOption<Environment>,
    endpoints: Mutex<Endpoints>,
    balancer: Mutex<Balancer>,
    idle_limits: Mutex<HashMap<CompactString, IdleLimit>>,
}

impl Shared {
    pub(crate) fn new(
        adapter: Adapter,
        settings: settings::Gateway,
        machine: Machine,
        log: Logger,
        metrics: Metrics,
        incarnation: Incarnation,
    ) -> Self {
        let clock = Clock::new();
        let peers = Peers::new();
        let table = adapter.table.clone();
        let limiter = Arc::new(Limiter::of_machine(machine.memory));
        let rows = Arc::new(Rows::new(
            table,
            peers.clone(),
            limiter.clone(),
            clock,
            metrics.clone(),
            &log,
        ));
        let histories = Histories::new(rows.clone(), limiter.clone(), clock, log.clone());
        let histories = Arc::new(histories);
        let cache: Weak<Histories> = Arc::downgrade(&histories);
        limiter.set_cache(cache);
        let gate = new_gate(machine, Clients::Callers, clock);
        let gate = gate.with_monitor(Monitor::new("callers", metrics.clone(), log.clone()));
        Shared {
            histories,
            programs: Arc::new(Programs::new(
                rows.clone(),
                peers.clone(),
                incarnation,
                clock,
                log.clone(),
            )),
            caps: Arc::new(Caps::new(
                peers.clone(),
                settings.host.clone(),
                clock,
                log.clone(),
            )),
            crashes: Crashes::default(),
            streams: Arc::new(Streams::new(rows.clone(), clock, log.clone())),
            buffers: Buffers::new(limiter.clone()),
            limiter,
            gate: Arc::new(gate),
            adapter,
            machine,
            settings: ArcSwap::from_pointee(settings),
            log,
            metrics,
            clock,
            incarnation,
            rows,
            peers,
            replica: Arc::new(Replica::new(clock)),
            stop: OnceLock::new(),
            stop_requested: Event::new(),
            connections: AtomicUsize::new(0),
            environment: ArcSwapOption::empty(),
            endpoints: Mutex::default(),
            balancer: Mutex::default(),
            idle_limits: Mutex::default(),
        }
    }

    /// Accepts connections on `listener`, within the share of its clients. `port` is its name in log lines.
    pub(crate) fn listen(
        &self,
        listener: TcpListener,
        clients: Clients,
        port: &'static str,
    ) -> Listener {
        let monitor = Monitor::new(port, self.metrics.clone(), self.log.clone());
        let gate = new_gate(self.machine, clients, self.clock).with_monitor(monitor);
        Listener::new(listener, Arc::new(gate))
    }

    /// Begins to stop. The first request counts.
    pub(crate) fn request_stop(&self, stop: Stop) {
        // A stop that was requested before stays.
        let _ = self.stop.set(stop);
        self.stop_requested.notify(usize::MAX);
    }

    /// Returns the deadline of a request that has arrived; while the gateway stops, not after the time of
    /// its last answers.
    ///
    /// # Errors
    /// [`Refusal::Stopping`] if the request came too late and may last longer.
    pub(crate) fn limit_deadline(&self, deadline: Time) -> Result<Time, Refusal> {
        let now = self.clock.now();
        self.stop.get().map_or(Ok(deadline), |stop| {
            stop.deadline(deadline, now).ok_or(Refusal::Stopping)
        })
    }

    /// Whether the time of the last answers has passed.
    pub(crate) fn has_answered(&self) -> bool {
        let now = self.clock.now();
        self.stop
            .get()
            .is_some_and(|stop| now >= stop.answers_end())
    }

    /// Waits until the time of the last answers; for ever if the gateway does not stop.
    pub(crate) async fn answers_end(&self) {
        loop {
            let requested = self.stop_requested.listen();
            if let Some(stop) = self.stop.get() {
                let left = stop.answers_end().since(self.clock.now());
                smol::Timer::after(left.into()).await;
                return;
            }
            requested.await;
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<settings::Gateway> {
        self.settings.load_full()
    }

    /// Replaces the settings. Listeners keep the addresses that they were bound to at the start.
    pub(crate) fn replace_settings(&self, settings: settings::Gateway) {
        self.settings.store(Arc::new(settings));
        self.sync_balancer();
    }

    /// Returns the environment in force; `None` until the first one has been read.
    pub(crate) fn environment(&self) -> Option<Arc<Environment>> {
        self.environment.load_full()
    }

    /// Puts an environment in force, unless the current one has the same or a higher version.
    /// `source` names where its `row` was read.
    pub(crate) fn install_environment(&self, environment: Environment, row: &Row, source: &str) {
        let previous = self.environment().map_or(0, |old| old.version);
        if environment.version <= previous {
            return;
        }
        info!(self.log, "environment in force"; "version" => environment.version,
            "before" => previous, "row_version" => row.version, "source" => source,
            "routes" => environment.routes.len(), "bytes" => row.value.0.len());
        self.metrics
            .set_gauge("environment-version", environment.version as i64);
        self.caps.set_has_limits(environment.accounts.has_limits());
        self.environment.store(Some(Arc::new(environment)));
        self.sync_balancer();
    }

    pub(crate) fn endpoints(&self) -> MutexGuard<'_, Endpoints> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns for how long an idle connection to an endpoint of `service` may be reused.
    pub(crate) fn idle_limit(&self, service: &CompactString) -> IdleLimit {
        let limits = self
            .idle_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        limits.get(service).copied().unwrap_or_default()
    }

    /// Applies `update` to the idle limit of the connections to a service.
    pub(crate) fn update_idle_limit(
        &self,
        service: &CompactString,
        update: impl FnOnce(&mut IdleLimit),
    ) {
        let mut limits = self
            .idle_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        update(limits.entry(service.clone()).or_default());
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether requests can be served: an environment is in force, at least one endpoint is listed
    /// and the process is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        let has_endpoint = self.endpoints().members().next().is_some();
        has_endpoint && !self.is_draining() && self.environment.load().is_some()
    }

    /// Updates the load balancer with the listed endpoints that are not draining.
    pub(crate) fn sync_balancer(&self) {
        let (settings, environment) = (self.settings(), self.environment());
        let endpoints = self.endpoints();
        let accepting = endpoints
            .members()
            .filter(|member| !member.endpoint.draining);
        let candidates =
            accepting.map(|member| candidate(member, &settings, environment.as_deref()));
        self.balancer().sync(candidates);
    }

    /// Updates the load balancer with one endpoint.
    pub(crate) fn sync_endpoint(&self, id: &str) {
        let (settings, environment) = (self.settings(), self.environment());
        // The lock is held while the load balancer is updated, so that updates stay in order.
        let endpoints = self.endpoints();
        let member = endpoints.get(id);
        match member.filter(|member| !member.endpoint.draining) {
            Some(member) => {
                let candidate = candidate(member, &settings, environment.as_deref());
                self.balancer().upsert(candidate, self.clock.now());
            }
            None => self.balancer().remove(id),
        }
    }

    /// Updates the load balancer with the listed gateways, which share the limits of endpoints.
    pub(crate) fn sync_senders(&self) {
        let senders: Vec<Sender> = self
            .peers
            .roster()
            .peers()
            .map(|peer| Sender {
                host: peer.host.clone(),
                zone: peer.zone.clone(),
            })
            .collect();
        let now = self.clock.now();
        let own = &self.settings().host;
        self.balancer().set_senders(own, senders, now);
    }
}

/// Creates the gate of a port, with its clients' share of what the machine has.
fn new_gate(machine: Machine, clients: Clients, clock: Clock) -> Gate {
    Gate::new(clients.limits(machine.memory, machine.descriptors), clock)
}

/// Describes an endpoint to the load balancer.
fn candidate(
    member: &Member,
    settings: &settings::Gateway,
    environment: Option<&Environment>,
) -> Candidate {
    let endpoint = &member.endpoint;
    let service = environment.and_then(|environment| environment.services.get(&endpoint.service));
    Candidate {
        id: endpoint.id.clone(),
        service: endpoint.service.clone(),
        release: endpoint.release.clone(),
        zone: endpoint.zone.clone(),
        slots: endpoint.slots,
        is_model: service.is_some_and(|service| service.engine.is_some()),
        start_id: endpoint.start_id,
        transfer_cost: transfer_cost(&endpoint.zone, settings),
    }
}

/// Returns the cost of sending requests from this host to a zone.
fn transfer_cost(zone: &Zone, settings: &settings::Gateway) -> TransferCost {
    if *zone == settings.zone {
        return TransferCost::default();
    }
    let region = settings.zones.get(zone);
    if region.is_some_and(|region| *region != settings.region) {
        return TransferCost {
            per_request: CROSS_REGION_COST_PER_REQUEST,
            per_kilobyte: CROSS_REGION_COST_PER_KB,
        };
    }
    TransferCost {
        per_request: CROSS_ZONE_COST_PER_REQUEST,
        per_kilobyte: CROSS_ZONE_COST_PER_KB,
    }
}
