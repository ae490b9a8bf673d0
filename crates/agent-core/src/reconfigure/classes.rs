//! The classes of requests by their indexes in the balancer's table.

use super::TRANSITION_PERIOD;
use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Time};

/// How long the classes of the former settings still apply to requests with their signature: clients change over some time
/// after the reload, and the slowest take seconds to send a request's head.
pub const FORMER_CLASS_RETENTION: Micros = Micros(6_000_000);

/// What a request shows of the retry safety that its client expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassSignature {
    /// `GET`.
    SafeMethod,
    /// `POST` with an idempotency key.
    WithIdempotencyKey,
    /// `POST` without one.
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

    /// Whether a request of this signature may have this retry safety. A key that the class does not use is harmless.
    fn fits(self, retry_safety: RetrySafety) -> bool {
        let expected = ClassSignature::of(retry_safety);
        self == expected
            || (self, expected) == (ClassSignature::WithIdempotencyKey, ClassSignature::WithoutIdempotencyKey)
    }
}

/// Which settings a class is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The present settings.
    Present,
    /// The narrower rules of the former and the present settings, for requests whose signature fits both.
    Transition { until: Time },
    /// Former settings.
    Former { until: Time },
}

#[derive(Debug, Clone)]
struct Entry {
    name: String,
    class: Class,
    origin: Origin,
}

impl Entry {
    /// The order in which classes of one name are chosen, the lowest first; none if this one no longer applies.
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

/// No class applies to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncompatibleClass {
    /// There is no class of this name.
    Unknown,
    /// The class has this retry safety, which does not fit the request's signature.
    Signature(RetrySafety),
}

/// The classes by their indexes in the balancer's table.
#[derive(Debug, Clone, Default)]
pub struct ClassRegistry {
    entries: Vec<Entry>,
}

impl ClassRegistry {
    /// The classes of the first settings, in their order.
    pub fn new(names: &[String], classes: &[Class]) -> Self {
        let entry = |(name, class): (&String, &Class)| Entry {
            name: name.clone(),
            class: class.clone(),
            origin: Origin::Present,
        };
        ClassRegistry { entries: names.iter().zip(classes).map(entry).collect() }
    }

    /// The classes of all indexes, for the balancer.
    pub fn classes(&self) -> Vec<Class> {
        self.entries.iter().map(|entry| entry.class.clone()).collect()
    }

    /// The name of the class at an index.
    ///
    /// # Panics
    ///
    /// There is no such index.
    pub fn name(&self, index: usize) -> &str {
        &self.entries[index].name
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
    /// No class of this name applies at present, or none of this signature.
    pub fn find(&self, now: Time, name: &str, signature: ClassSignature) -> Result<usize, IncompatibleClass> {
        let named = || self.entries.iter().enumerate().filter(|(_, entry)| entry.name == name);
        // An exact signature first; of those the narrower rules of a transition, the present rules, the former rules.
        let rank = |entry: &Entry| {
            let is_exact = signature == ClassSignature::of(entry.class.retry_safety);
            Some((!is_exact, entry.precedence(now)?))
        };
        let fitting = named().filter(|(_, entry)| signature.fits(entry.class.retry_safety));
        let best = fitting.filter_map(|(index, entry)| Some((rank(entry)?, index))).min();
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

    /// Takes in the classes of newer settings. An index is reused only if `is_free` says that nothing refers to it.
    /// Returns the indexes that are new or another class's, each with the index whose statistics it starts from, if any.
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
                let entry = Entry { name: name.clone(), class, origin };
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

    /// A second reload within a transition ends it: its rules are of neither the former nor the present settings.
    fn end_transitions(&mut self, now: Time) {
        for entry in &mut self.entries {
            if matches!(entry.origin, Origin::Transition { .. }) {
                entry.origin = Origin::Former { until: now };
            }
        }
    }

    /// Classes that the newer settings lack apply for a while longer.
    fn retire_removed(&mut self, now: Time, names: &[String]) {
        for entry in &mut self.entries {
            if entry.origin == Origin::Present && !names.contains(&entry.name) {
                entry.origin = Origin::Former { until: now + FORMER_CLASS_RETENTION };
            }
        }
    }

    /// The rules during the transition from a class to a newer one, if a request's signature does not tell them apart.
    fn transition_rules(&self, old: usize, newer: &Class) -> Option<RetrySafety> {
        let (former, present) = (self.entries[old].class.retry_safety, newer.retry_safety);
        let is_ambiguous = former != present && ClassSignature::of(former) == ClassSignature::of(present);
        is_ambiguous.then(|| narrower(former, present))
    }

    /// Stores an entry at an index that is free, or at a new one.
    fn insert(
        &mut self,
        now: Time,
        entry: Entry,
        is_free: &impl Fn(usize) -> bool,
        changed: &[(usize, Option<usize>)],
    ) -> usize {
        let is_used = |index: usize| changed.iter().any(|(new, from)| *new == index || *from == Some(index));
        let is_reusable =
            |index: &usize| self.entries[*index].is_expired(now) && is_free(*index) && !is_used(*index);
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

/// What both of two retry safeties with one signature allow.
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
