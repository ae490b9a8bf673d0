//! The registry of request classes, by their indexes in the balancer's table.

use super::TRANSITION_PERIOD;
use bellcroft_balancer::{Class, ClassId, DedupScope, Micros, RetrySafety, Time};
use std::rc::Rc;

/// Time for which the classes of the former settings still apply to requests with their signature: clients switch to the
/// new settings some time after the reload, and the slowest take seconds to send a request's head.
pub const FORMER_CLASS_RETENTION: Micros = Micros(6_000_000);

/// The properties of a request that indicate which retry safety its client expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassSignature {
    /// `GET`.
    SafeMethod,
    /// `POST` with an idempotency key.
    WithIdempotencyKey,
    /// `POST` without an idempotency key.
    WithoutIdempotencyKey,
}

impl ClassSignature {
    /// The signature of requests of this retry safety.
    pub fn of(retry_safety: RetrySafety) -> Self {
        match retry_safety {
            RetrySafety::Idempotent => ClassSignature::SafeMethod,
            RetrySafety::Deduplicated { .. } => ClassSignature::WithIdempotencyKey,
            RetrySafety::AtMostOnce => ClassSignature::WithoutIdempotencyKey,
        }
    }

    /// Whether a request of this signature may have this retry safety.
    fn fits(self, retry_safety: RetrySafety) -> bool {
        self == ClassSignature::of(retry_safety)
    }
}

/// The settings that a class comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The class is from the present settings.
    Present,
    /// The class has the narrower rules of the former and the present settings, for requests whose signature fits both.
    Transition { until: Time },
    /// The class is from former settings.
    Former { until: Time },
}

/// The class of a request from its head to its last attempt. While it is held, no other class gets the index.
#[derive(Debug, Clone)]
pub struct ClassHandle {
    id: ClassId,
    _holders: Rc<()>,
}

impl ClassHandle {
    /// The index in the balancer's table.
    pub fn id(&self) -> ClassId {
        self.id
    }
}

#[derive(Debug, Clone)]
struct Entry {
    name: String,
    class: Class,
    origin: Origin,
    /// Shared with each [`ClassHandle`] of the class.
    holders: Rc<()>,
}

impl Entry {
    fn new(name: String, class: Class, origin: Origin) -> Self {
        Entry { name, class, origin, holders: Rc::default() }
    }

    /// Whether a request holds the class.
    fn is_held(&self) -> bool {
        Rc::strong_count(&self.holders) > 1
    }

    /// The rank among classes of the same name, the lowest of which is chosen; `None` if the class no longer applies.
    fn precedence(&self, now: Time) -> Option<u32> {
        match self.origin {
            Origin::Transition { until } if now < until => Some(0),
            Origin::Present => Some(1),
            Origin::Former { until } if now < until => Some(2),
            Origin::Transition { .. } | Origin::Former { .. } => None,
        }
    }

    /// Whether the class no longer applies to new requests.
    fn is_expired(&self, now: Time) -> bool {
        match self.origin {
            Origin::Present => false,
            Origin::Transition { until } | Origin::Former { until } => now > until,
        }
    }
}

/// Why no class applies to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncompatibleClass {
    /// There is no class of this name.
    Unknown,
    /// The class has this retry safety, and the request's signature does not fit it.
    Signature(RetrySafety),
}

/// The classes by their indexes in the balancer's table.
#[derive(Debug, Clone, Default)]
pub struct ClassRegistry {
    entries: Vec<Entry>,
}

impl ClassRegistry {
    /// Creates a registry with the classes of the first settings, in their order.
    pub fn new(names: &[String], classes: &[Class]) -> Self {
        let entry =
            |(name, class): (&String, &Class)| Entry::new(name.clone(), class.clone(), Origin::Present);
        ClassRegistry { entries: names.iter().zip(classes).map(entry).collect() }
    }

    /// The classes of all indexes, as the balancer's table.
    pub fn classes(&self) -> Vec<Class> {
        self.entries.iter().map(|entry| entry.class.clone()).collect()
    }

    /// The name of the class at an index.
    ///
    /// # Panics
    ///
    /// Panics if there is no such index.
    pub fn name(&self, index: usize) -> &str {
        &self.entries[index].name
    }

    /// Holds the class at an index for a request.
    ///
    /// # Panics
    ///
    /// Panics if there is no such index.
    pub fn hold(&self, index: usize) -> ClassHandle {
        ClassHandle { id: ClassId(index), _holders: self.entries[index].holders.clone() }
    }

    /// The number of indexes, former classes included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no classes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The index of the class that applies to a request of this class name and signature.
    ///
    /// # Errors
    ///
    /// Returns an error if no class of this name applies at present, or none that fits the signature.
    pub fn find(&self, now: Time, name: &str, signature: ClassSignature) -> Result<usize, IncompatibleClass> {
        let named = || self.entries.iter().enumerate().filter(|(_, entry)| entry.name == name);
        let fitting = named().filter(|(_, entry)| signature.fits(entry.class.retry_safety));
        let best = fitting.filter_map(|(index, entry)| Some((entry.precedence(now)?, index))).min();
        if let Some((_, index)) = best {
            return Ok(index);
        }
        let applying =
            named().filter_map(|(_, entry)| Some((entry.precedence(now)?, entry.class.retry_safety)));
        match applying.min_by_key(|(precedence, _)| *precedence) {
            Some((_, retry_safety)) => Err(IncompatibleClass::Signature(retry_safety)),
            None => Err(IncompatibleClass::Unknown),
        }
    }

    /// Replaces the present classes by those of newer settings. An index is reused only if no request holds its class and
    /// `is_free` reports that nothing else refers to it. Returns the indexes that are new or have another class now, each with
    /// the index whose statistics it starts from, if any.
    pub fn reconfigure(
        &mut self,
        now: Time,
        names: &[String],
        classes: &[Class],
        is_free: impl Fn(usize) -> bool,
    ) -> Vec<(usize, Option<usize>)> {
        let mut changed = Vec::new();
        self.end_transitions(now);
        self.retire_removed(now, names);
        for (name, class) in names.iter().zip(classes) {
            let old = self.present_index(name);
            if old.is_some_and(|old| self.entries[old].class == *class) {
                continue;
            }
            let mut insert = |registry: &mut ClassRegistry, class: Class, origin: Origin| {
                let entry = Entry::new(name.clone(), class, origin);
                let index = registry.insert(now, entry, &is_free, &changed);
                changed.push((index, old));
            };
            insert(self, class.clone(), Origin::Present);
            let Some(old) = old else { continue };
            if let Some(retry_safety) = self.transition_rules(old, class) {
                let origin = Origin::Transition { until: now + TRANSITION_PERIOD };
                insert(self, Class { retry_safety, ..class.clone() }, origin);
            }
            self.entries[old].origin = Origin::Former { until: now + FORMER_CLASS_RETENTION };
        }
        changed
    }

    fn present_index(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.name == name && entry.origin == Origin::Present)
    }

    /// Ends the transitions of an earlier reload: their rules are of neither the former nor the present settings.
    fn end_transitions(&mut self, now: Time) {
        for entry in &mut self.entries {
            if matches!(entry.origin, Origin::Transition { .. }) {
                entry.origin = Origin::Former { until: now };
            }
        }
    }

    /// Marks classes that the newer settings lack as former ones.
    fn retire_removed(&mut self, now: Time, names: &[String]) {
        for entry in &mut self.entries {
            if entry.origin == Origin::Present && !names.contains(&entry.name) {
                entry.origin = Origin::Former { until: now + FORMER_CLASS_RETENTION };
            }
        }
    }

    /// The rules during the transition from a class to a newer one; `None` if a request's signature distinguishes the two,
    /// or if their rules are equal.
    fn transition_rules(&self, old: usize, newer: &Class) -> Option<RetrySafety> {
        let (former, present) = (self.entries[old].class.retry_safety, newer.retry_safety);
        let is_ambiguous = former != present && ClassSignature::of(former) == ClassSignature::of(present);
        is_ambiguous.then(|| narrower(former, present))
    }

    /// Stores an entry at a reusable index, or else at a new one.
    fn insert(
        &mut self,
        now: Time,
        entry: Entry,
        is_free: &impl Fn(usize) -> bool,
        changed: &[(usize, Option<usize>)],
    ) -> usize {
        let is_used = |index: usize| changed.iter().any(|(new, from)| *new == index || *from == Some(index));
        let is_reusable = |index: &usize| {
            let entry = &self.entries[*index];
            entry.is_expired(now) && !entry.is_held() && is_free(*index) && !is_used(*index)
        };
        match (0..self.entries.len()).find(is_reusable) {
            Some(index) => {
                self.entries[index] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        }
    }
}

/// The rules that satisfy both of two retry safeties with the same signature.
fn narrower(one: RetrySafety, other: RetrySafety) -> RetrySafety {
    let reach = |scope: DedupScope| match scope {
        DedupScope::Group => 0,
        DedupScope::Zone => 1,
        DedupScope::All => 2,
    };
    match (one, other) {
        (
            RetrySafety::Deduplicated { scope: a, window: v },
            RetrySafety::Deduplicated { scope: b, window: w },
        ) => RetrySafety::Deduplicated { scope: if reach(a) < reach(b) { a } else { b }, window: v.min(w) },
        _ => one,
    }
}
