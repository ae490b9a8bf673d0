//! Reloads settings and routes at run time. Pending requests keep the class and the route that they were accepted with.

use super::{duration, Driver, State};
use crate::daemon::config::Config;
use crate::discovery::policy::WatchPolicy;
use bellcroft_agent_core::reconfigure::{merge_names, ClassHandle, ClassSignature, IncompatibleClass};
use bellcroft_balancer::{ClassId, Settings, SettingsError, Tenant, TenantId, ZoneId};
use bellcroft_platform_settings::Names;
use bellcroft_routes::{LatencyWindow, Route, RouteTable};
use std::rc::Rc;
use std::sync::Arc;

impl Driver {
    /// Applies new settings.
    ///
    /// # Errors
    ///
    /// The settings are invalid for the balancer; nothing has changed then.
    pub fn reconfigure(self: &Rc<Self>, new_config: &Config) -> Result<(), SettingsError> {
        new_config.settings.validate()?;
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let former = state.balancer.settings().clone();
        let (mut settings, names) = self.merge_settings(&former, new_config);
        let mut registry = self.class_registry.borrow_mut();
        let is_free = |index: usize| !state.balancer.references_class(ClassId(index));
        let changed =
            registry.reconfigure(now, &new_config.names.classes, &new_config.settings.classes, is_free);
        settings.classes = registry.classes();
        if settings.max_attempts != former.max_attempts {
            state.attempt_limit.on_limit_changed(former.max_attempts, now);
        }
        state.balancer.reconfigure(settings, &changed)?;
        self.reconfigure_discovery(&mut state);
        state.response_times.resize_with(registry.len(), LatencyWindow::default);
        for (index, _) in &changed {
            state.response_times[*index] = LatencyWindow::default();
        }
        self.upstream.reconfigure(
            duration(new_config.names.connect_timeout),
            duration(new_config.names.keepalive),
            new_config.names.report_fields.clone(),
        );
        *self.names.borrow_mut() = Rc::new(names);
        Ok(())
    }

    /// The new settings and names, in which each tenant, zone and machine type keeps its former index.
    fn merge_settings(&self, former: &Settings, new_config: &Config) -> (Settings, Names) {
        let former_names = self.names();
        let mut settings = new_config.settings.clone();
        let (tenants, indexes) = merge_names(&former_names.tenants, &new_config.names.tenants);
        settings.tenants = former.tenants.clone();
        settings.tenants.resize(tenants.len(), Tenant::default());
        for (index, tenant) in indexes.iter().zip(&new_config.settings.tenants) {
            settings.tenants[*index] = tenant.clone();
        }
        let (zones, indexes) = merge_names(&former_names.zones, &new_config.names.zones);
        if let Some(index) = indexes.get(settings.zone.0 as usize) {
            settings.zone = ZoneId(*index as u32);
        }
        self.instances.set(settings.balancers.max(self.fleet_size.get()));
        settings.balancers = self.balancers();
        let (machine_types, _) = merge_names(&former_names.machine_types, &new_config.names.machine_types);
        (settings, Names { tenants, zones, machine_types, ..new_config.names.clone() })
    }

    /// Applies the watch policy of the present settings. Replaces the watch if the policy changes whether watches restart by
    /// themselves.
    fn reconfigure_discovery(self: &Rc<Self>, state: &mut State) {
        let restarted_watches = state.discovery.restarts_watches();
        state.discovery.reconfigure(watch_policy(state.balancer.settings()));
        if restarted_watches != state.discovery.restarts_watches() {
            let address = state.discovery.address();
            self.restart_discovery(state, address);
        }
    }

    /// Applies the routes of a validated configuration to requests that arrive from now on.
    pub fn set_routes(&self, config: &Config) {
        let mut state = self.state.borrow_mut();
        let table = RouteTable::unchecked(&config.routes, &mut state.route_ids);
        state.routes = Rc::new(table);
    }

    /// The first route that matches a request.
    pub fn route(&self, class: ClassId, tenant: Option<TenantId>, path: &str) -> Option<Arc<Route>> {
        let routes = self.state.borrow().routes.clone();
        let names = self.names();
        let tenant = tenant.and_then(|tenant| names.tenants.get(tenant.0)).map(String::as_str);
        routes.lookup(self.class_registry.borrow().name(class.0), tenant, path).cloned()
    }

    /// The names of classes, tenants, zones and machine types in the settings.
    pub fn names(&self) -> Rc<Names> {
        self.names.borrow().clone()
    }

    /// The class whose settings apply to a request with this class name and signature, whatever settings follow while the
    /// request is received.
    ///
    /// # Errors
    ///
    /// There is no class with this name, or none with it that matches the signature.
    pub fn class(&self, name: &str, signature: ClassSignature) -> Result<ClassHandle, IncompatibleClass> {
        let registry = self.class_registry.borrow();
        registry.find(self.clock.now(), name, signature).map(|index| registry.hold(index))
    }

    /// The name of a class.
    pub fn class_name(&self, class: ClassId) -> String {
        self.class_registry.borrow().name(class.0).to_owned()
    }
}

/// The policy for calls to discovery under these settings.
pub(super) fn watch_policy(settings: &Settings) -> WatchPolicy {
    WatchPolicy::new(settings.discovery, duration(settings.drain_grace_period))
}
