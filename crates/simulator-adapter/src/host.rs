//! Hosts the instances and dispatches each event to the instance that it is addressed to.

use crate::error::{BatchError, EventError};
use crate::instance::{CatalogEntry, Instance};
use crate::wire::{Batch, Incoming, Outgoing, Reply, ReplyPart};
use bellcroft_balancer::*;
use bellcroft_platform_settings::settings;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Endpoint lists by their number; all instances share them.
pub type Catalogs = BTreeMap<u32, Vec<CatalogEntry>>;

/// All instances of this process, and the endpoint lists that they share.
#[derive(Default)]
pub struct Host {
    catalogs: Catalogs,
    instances: BTreeMap<u32, Instance>,
    /// The actions of the present event; kept for its allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the events of one batch and returns the resulting actions.
    pub fn handle_batch(&mut self, batch: Batch<'_>) -> Result<Reply, BatchError> {
        if !batch.clock_ms.is_finite() || batch.clock_ms < 0.0 {
            return Err(BatchError::InvalidTime(batch.clock_ms));
        }
        let now = Time::from_ms(batch.clock_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let who = part.who;
            let mut outbox = Vec::new();
            for incoming in part.inbox {
                self.handle_event(now, who, incoming, &mut outbox)
                    .map_err(|source| BatchError::Instance { instance: who, source })?;
            }
            if !outbox.is_empty() {
                reply.parts.push(ReplyPart { who, outbox });
            }
        }
        Ok(reply)
    }

    fn handle_event(
        &mut self,
        now: Time,
        who: u32,
        incoming: Incoming<'_>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), EventError> {
        match incoming {
            Incoming::Catalog { r#ref, members_list } => {
                let entries = members_list.into_iter().map(CatalogEntry::from).collect();
                self.catalogs.insert(r#ref, entries);
            }
            Incoming::Attach { salt, params } => {
                let balancer = Balancer::new(settings(&params), salt)?;
                self.instances.insert(who, Instance::new(balancer));
                self.drive(now, who, None, outbox);
            }
            Incoming::Retire {} => {
                // No action of the ended instance may take effect, including those of earlier events of this batch.
                self.instances.remove(&who);
                outbox.clear();
            }
            other => {
                let instance = self.instances.get_mut(&who).ok_or(EventError::NotAttached)?;
                if let Some(event) = instance.decode(other, &self.catalogs)? {
                    self.drive(now, who, Some(event), outbox);
                }
            }
        }
        Ok(())
    }

    /// Passes an event, or the start if there is none, to an instance's balancer and encodes its actions.
    fn drive(&mut self, now: Time, who: u32, event: Option<Event>, outbox: &mut Vec<Outgoing>) {
        let Some(instance) = self.instances.get_mut(&who) else { return };
        let actions = &mut self.actions;
        actions.clear();
        let result = catch_unwind(AssertUnwindSafe(|| match event {
            Some(event) => instance.balancer.handle(now, event, actions),
            None => instance.balancer.start(now, actions),
        }));
        if let Err(panic) = result {
            outbox.push(Outgoing::Bug { what: panic_message(&*panic) });
            return;
        }
        for action in self.actions.drain(..) {
            outbox.push(instance.encode(action));
        }
        instance.forget_ended_requests();
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(std::string::ToString::to_string));
    text.unwrap_or_else(|| "panic without a text".into())
}
