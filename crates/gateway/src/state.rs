//! What the tasks of a gateway share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use compact_str::CompactString;
use policy::{Balancer, Candidate, IdleLimit, TransferCost};
use slog::{Logger, info};
use telemetry::Metrics;
use units::{Clock, Incarnation, Span, Zone};

use crate::dialect::Adapter;
use crate::endpoints::{Endpoints, Member};
use crate::environment::Environment;
use crate::history::Histories;
use crate::peers::Peers;
use crate::programs::Programs;
use crate::rows::Rows;

/// What a request to another availability zone counts as, beside the time of the way: bytes between
/// zones are billed, and a prompt is some kilobytes.
const ZONE_KILOBYTE: Span = Span::from_ms(3);
/// What a request to another region counts as: the round trip.
const REGION_REQUEST: Span = Span::from_ms(30);
/// What a kilobyte to another region counts as: it is billed, and the link is narrow.
const REGION_KILOBYTE: Span = Span::from_ms(4);
/// What a request to another availability zone counts as: the round trip.
const ZONE_REQUEST: Span = Span::from_ms(2);

/// The state of a gateway.
pub(crate) struct Shared {
    pub(crate) adapter: Adapter,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
    pub(crate) rows: Arc<Rows>,
    pub(crate) peers: Peers,
    pub(crate) programs: Programs,
    pub(crate) histories: Histories,
    pub(crate) draining: AtomicBool,
    pub(crate) connections: AtomicUsize,
    settings: ArcSwap<settings::Gateway>,
    environment: ArcSwapOption<Environment>,
    endpoints: Mutex<Endpoints>,
    places: Mutex<Balancer>,
    idle: Mutex<HashMap<CompactString, IdleLimit>>,
}

impl Shared {
    pub(crate) fn new(
        adapter: Adapter,
        settings: settings::Gateway,
        log: Logger,
        metrics: Metrics,
        me: Incarnation,
    ) -> Self {
        let clock = Clock::new();
        let peers = Peers::new();
        let table = adapter.table.clone();
        let rows = Arc::new(Rows::new(table, peers.clone(), clock, &log));
        Shared {
            histories: Histories::new(rows.clone(), clock, log.clone()),
            programs: Programs::new(rows.clone(), me, clock, log.clone()),
            adapter,
            settings: ArcSwap::from_pointee(settings),
            log,
            metrics,
            clock,
            rows,
            peers,
            draining: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            environment: ArcSwapOption::empty(),
            endpoints: Mutex::default(),
            places: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<settings::Gateway> {
        self.settings.load_full()
    }

    /// Uses other settings from now on; addresses stay as they are.
    pub(crate) fn adopt_settings(&self, settings: settings::Gateway) {
        self.settings.store(Arc::new(settings));
        self.sync_places();
    }

    /// The environment in force.
    pub(crate) fn environment(&self) -> Option<Arc<Environment>> {
        self.environment.load_full()
    }

    /// Puts an environment in force, unless one that is as new already is.
    pub(crate) fn adopt(&self, environment: Environment, row_version: u64) {
        let before = self.environment().map_or(0, |old| old.version);
        if environment.version <= before {
            return;
        }
        info!(self.log, "environment in force"; "version" => environment.version,
            "before" => before, "row_version" => row_version,
            "routes" => environment.routes.len());
        self.environment.store(Some(Arc::new(environment)));
        self.sync_places();
    }

    pub(crate) fn endpoints(&self) -> MutexGuard<'_, Endpoints> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn places(&self) -> MutexGuard<'_, Balancer> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long connections to a service can be trusted.
    pub(crate) fn idle(&self, service: &CompactString) -> IdleLimit {
        let all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(service).copied().unwrap_or_default()
    }

    /// Learns how long connections to a service can be trusted.
    pub(crate) fn note_idle(&self, service: &CompactString, learn: impl FnOnce(&mut IdleLimit)) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        learn(all.entry(service.clone()).or_default());
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether requests can be served: what to do with them is known, and somebody to do it.
    pub(crate) fn is_ready(&self) -> bool {
        let served = self.endpoints().members().next().is_some();
        served && !self.is_draining() && self.environment.load().is_some()
    }

    /// Tells the policy which endpoints there are.
    pub(crate) fn sync_places(&self) {
        let environment = self.environment();
        let endpoints = self.endpoints();
        let serving = endpoints
            .members()
            .filter(|member| !member.endpoint.draining);
        let spots = serving.map(|member| self.spot(member, environment.as_deref()));
        self.places().sync(spots);
    }

    fn spot(&self, member: &Member, environment: Option<&Environment>) -> Candidate {
        let endpoint = &member.endpoint;
        let service = environment.and_then(|all| all.services.get(&endpoint.service));
        Candidate {
            id: endpoint.id.clone(),
            service: endpoint.service.clone(),
            zone: endpoint.zone.clone(),
            slots: endpoint.slots,
            is_model: service.is_some_and(|service| service.engine.is_some()),
            start_id: endpoint.start_id,
            transfer_cost: self.way(&endpoint.zone),
        }
    }

    fn way(&self, zone: &Zone) -> TransferCost {
        let own = self.settings();
        if *zone == own.zone {
            return TransferCost::default();
        }
        let region = own.zones.get(zone);
        if region.is_some_and(|region| *region != own.region) {
            return TransferCost {
                per_request: REGION_REQUEST,
                per_kilobyte: REGION_KILOBYTE,
            };
        }
        TransferCost {
            per_request: ZONE_REQUEST,
            per_kilobyte: ZONE_KILOBYTE,
        }
    }
}
