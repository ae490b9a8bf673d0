//! Holds the instances and dispatches each event to the instance that it is addressed to.

use crate::error::{BatchError, EventError};
use crate::instance::{CatalogEntry, Instance};
use crate::wire::{Batch, Incoming, Outgoing, Reply, ReplyPart};
use bellcroft_balancer::*;
use bellcroft_platform_settings::settings;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Endpoint lists by number, shared by all instances.
pub type Catalogs = BTreeMap<u32, Vec<CatalogEntry>>;

/// All instances of this process and their shared endpoint lists.
#[derive(Default)]
pub struct Host {
    catalogs: Catalogs,
    instances: BTreeMap<u32, Instance>,
    /// The actions of the present event, kept in a field to reuse the allocation.
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
            let number = part.who;
            let mut outbox = Vec::new();
            for incoming in part.inbox {
                self.handle_event(now, number, incoming, &mut outbox)
                    .map_err(|source| BatchError::Instance { instance: number, source })?;
            }
            if !outbox.is_empty() {
                reply.parts.push(ReplyPart { who: number, outbox });
            }
        }
        Ok(reply)
    }

    fn handle_event(
        &mut self,
        now: Time,
        number: u32,
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
                self.instances.insert(number, Instance::new(balancer));
                self.run_balancer(now, number, None, outbox);
            }
            Incoming::Retire {} => {
                // No action of a removed instance may take effect, including those of earlier events of this batch.
                self.instances.remove(&number);
                outbox.clear();
            }
            other => {
                let instance = self.instances.get_mut(&number).ok_or(EventError::NotAttached)?;
                if let Some(event) = instance.decode(other, &self.catalogs)? {
                    self.run_balancer(now, number, Some(event), outbox);
                }
            }
        }
        Ok(())
    }

    /// Passes an event to an instance's balancer, or starts it if there is no event, and encodes its actions. A panic of the
    /// balancer is reported as a `BUG` action.
    fn run_balancer(&mut self, now: Time, number: u32, event: Option<Event>, outbox: &mut Vec<Outgoing>) {
        let Some(instance) = self.instances.get_mut(&number) else { return };
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
        instance.remove_finished_requests();
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<String>().cloned();
    let message = message.or_else(|| panic.downcast_ref::<&str>().map(std::string::ToString::to_string));
    message.unwrap_or_else(|| "panic without a text".into())
}
