//! The endpoints of a host by identifier and by service.

use std::collections::HashMap;

use compact_str::CompactString;

use super::endpoint::Endpoint;

/// Endpoints, by identifier and by service: a decision visits those of one service, and a change
/// visits one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    by_service: HashMap<CompactString, Vec<Endpoint>>,
    /// Service and position of each endpoint.
    positions: HashMap<CompactString, (CompactString, usize)>,
}

impl Index {
    /// Returns the endpoints of a service.
    pub(super) fn of_service(&self, service: &str) -> &[Endpoint] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    pub(super) fn get(&self, id: &str) -> Option<&Endpoint> {
        let (service, position) = self.positions.get(id)?;
        self.by_service.get(service)?.get(*position)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        let (service, position) = self.positions.get(id)?;
        self.by_service.get_mut(service)?.get_mut(*position)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_service.values().flatten()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.by_service.values_mut().flatten()
    }

    /// Inserts an endpoint, in place of one with the same identifier.
    pub(super) fn insert(&mut self, endpoint: Endpoint) {
        let (id, service) = (endpoint.info.id.clone(), endpoint.info.service.clone());
        self.remove(&id);
        let of_service = self.by_service.entry(service.clone()).or_default();
        self.positions.insert(id, (service, of_service.len()));
        of_service.push(endpoint);
    }

    pub(super) fn remove(&mut self, id: &str) {
        let Some((service, position)) = self.positions.remove(id) else {
            return;
        };
        let Some(of_service) = self.by_service.get_mut(&service) else {
            return;
        };
        of_service.swap_remove(position);
        match of_service.get(position) {
            Some(moved) => {
                let moved_id = moved.info.id.clone();
                self.positions.insert(moved_id, (service, position));
            }
            None if of_service.is_empty() => drop(self.by_service.remove(&service)),
            None => {}
        }
    }

    /// Removes the endpoints for which `is_kept` is false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&Endpoint) -> bool) {
        let endpoints = self.by_service.values().flatten();
        let removed: Vec<CompactString> = endpoints
            .filter(|endpoint| !is_kept(endpoint))
            .map(|endpoint| endpoint.info.id.clone())
            .collect();
        removed.iter().for_each(|id| self.remove(id));
    }
}
