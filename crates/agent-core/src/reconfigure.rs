//! New settings while it serves: what a new file must have, and which rules a request goes by while its clients are still
//! changing their habits.
//!
//! A class's place in the table is never given to another one while anything refers to it, so a request that is open
//! keeps its class, and its rules, whatever the newest file says.

use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Time};
use serde_json::Value;

/// For so long after new settings have been taken, requests still come in the old ones' form: clients change theirs some
/// time after the signal, and the slowest take seconds over a request's head.
const FORMER_KNOWN: Micros = Micros(6_000_000);
/// For so long, where a request's form does not tell which of two rules it was made for, the narrower one binds, and the
/// smaller number of attempts.
const BOTH_BIND: Micros = Micros(2_000_000);

/// What a newer file lacks that the present one has, as paths such as `settings.classes[1].deadlineMs`. A file that was
/// cut short, or written by a hand that forgot a line, must not silently fall back to defaults.
///
/// Of lists, each element must have what every element had: a class has the keys that all classes have.
pub fn missing_keys(present: &Value, newer: &Value) -> Vec<String> {
    let mut lacks = Vec::new();
    compare("", present, newer, &mut lacks);
    lacks
}

fn compare(path: &str, present: &Value, newer: &Value, lacks: &mut Vec<String>) {
    match (present, newer) {
        (Value::Null, _) => {}
        (Value::Object(had), Value::Object(has)) => {
            for (key, had) in had {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match has.get(key) {
                    Some(has) => compare(&path, had, has, lacks),
                    None if had.is_null() => {}
                    None => lacks.push(path),
                }
            }
        }
        (Value::Array(had), Value::Array(has)) => {
            let Some(common) = common(had) else { return };
            for (place, has) in has.iter().enumerate() {
                compare(&format!("{path}[{place}]"), &common, has, lacks);
            }
        }
        _ if std::mem::discriminant(present) == std::mem::discriminant(newer) => {}
        _ => lacks.push(format!("{path} (another kind of value)")),
    }
}

/// What every object of a list has; none if it is no list of objects.
fn common(list: &[Value]) -> Option<Value> {
    let mut objects = list.iter().map(Value::as_object);
    let mut common = objects.next()??.clone();
    for object in objects {
        let object = object?;
        common.retain(|key, value| {
            let kind = |other: &Value| std::mem::discriminant(other) == std::mem::discriminant(&*value);
            object.get(key).is_some_and(kind)
        });
    }
    Some(Value::Object(common))
}

/// Two lists of names as one that keeps the first one's places, and the place of each of the second's.
pub fn merge_names(old: &[String], new: &[String]) -> (Vec<String>, Vec<usize>) {
    let mut all = old.to_vec();
    let place = |name: &String| {
        all.iter().position(|known| known == name).unwrap_or_else(|| {
            all.push(name.clone());
            all.len() - 1
        })
    };
    let places = new.iter().map(place).collect();
    (all, places)
}

/// What a request shows of the effect that its client thinks it has: safe ones are read, keyed ones carry a key, and the
/// rest do neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassSignature {
    /// `GET`.
    SafeMethod,
    /// `POST` with a key.
    WithIdempotencyKey,
    /// `POST` without.
    WithoutIdempotencyKey,
}

impl ClassSignature {
    /// The form of requests with this effect.
    pub fn of(effect: RetrySafety) -> Self {
        match effect {
            RetrySafety::Idempotent => ClassSignature::SafeMethod,
            RetrySafety::Deduplicated { .. } => ClassSignature::WithIdempotencyKey,
            RetrySafety::AtMostOnce => ClassSignature::WithoutIdempotencyKey,
        }
    }

    /// Whether a request of this form is one of such an effect. A key that nobody asked for does no harm.
    fn fits(self, effect: RetrySafety) -> bool {
        self == ClassSignature::of(effect)
            || (self, ClassSignature::of(effect))
                == (ClassSignature::WithIdempotencyKey, ClassSignature::WithoutIdempotencyKey)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The newest file has it.
    Present,
    /// It has the narrower of the last file's rules and the newest one's, and is for requests that could be of either.
    Both { until: Time },
    /// An earlier file had it.
    Former { until: Time },
}

#[derive(Debug, Clone)]
struct Entry {
    name: String,
    class: Class,
    standing: Standing,
}

/// No class fits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncompatibleClass {
    /// There is none of that name.
    Unknown,
    /// There is one, of this effect, and the request has another's form.
    Signature(RetrySafety),
}

/// The classes, by their places in the decisions' table.
#[derive(Debug, Clone, Default)]
pub struct ClassRegistry {
    entries: Vec<Entry>,
}

impl ClassRegistry {
    /// The classes of the first file, in their order.
    pub fn new(names: &[String], classes: &[Class]) -> Self {
        let entry = |(name, class): (&String, &Class)| Entry {
            name: name.clone(),
            class: class.clone(),
            standing: Standing::Present,
        };
        ClassRegistry { entries: names.iter().zip(classes).map(entry).collect() }
    }

    /// All places' classes, for the decisions.
    pub fn classes(&self) -> Vec<Class> {
        self.entries.iter().map(|entry| entry.class.clone()).collect()
    }

    /// The name of a place's class.
    pub fn name(&self, place: usize) -> &str {
        &self.entries[place].name
    }

    /// How many places there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The place whose rules a request goes by that names this class and has this form.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn find(&self, now: Time, name: &str, form: ClassSignature) -> Result<usize, IncompatibleClass> {
        // The present one's form decides before a former one's, and where both are alike both bind for a while.
        let rank = |entry: &Entry| match entry.standing {
            Standing::Both { until } if now < until => Some(0),
            Standing::Present => Some(1),
            Standing::Former { until } if now < until => Some(2),
            Standing::Both { .. } | Standing::Former { .. } => None,
        };
        let exact = |entry: &Entry| form == ClassSignature::of(entry.class.retry_safety);
        let named = || self.entries.iter().enumerate().filter(|(_, entry)| entry.name == name);
        let fits = named().filter(|(_, entry)| form.fits(entry.class.retry_safety));
        let ranked = fits.filter_map(|(place, entry)| Some(((!exact(entry), rank(entry)?), place)));
        if let Some((_, place)) = ranked.min() {
            return Ok(place);
        }
        let known = named().filter_map(|(_, entry)| Some((rank(entry)?, entry.class.retry_safety)));
        known
            .min_by_key(|(rank, _)| *rank)
            .map_or(Err(IncompatibleClass::Unknown), |(_, effect)| Err(IncompatibleClass::Signature(effect)))
    }

    /// Takes in a newer file's classes. A place is used again only if `free` says that nothing refers to it. Returns the
    /// places that are new or another class's, each with the place whose experience it begins with, if any.
    pub fn reconfigure(
        &mut self,
        now: Time,
        names: &[String],
        classes: &[Class],
        free: impl Fn(usize) -> bool,
    ) -> Vec<(usize, Option<usize>)> {
        let mut changed = Vec::new();
        let former = Standing::Former { until: now + FORMER_KNOWN };
        // One more file within the time of the last one: what was both is neither.
        for entry in &mut self.entries {
            if matches!(entry.standing, Standing::Both { .. }) {
                entry.standing = Standing::Former { until: now };
            }
        }
        let present =
            |entry: &Entry, name: &String| entry.name == *name && entry.standing == Standing::Present;
        let leaves = |entry: &Entry| entry.standing == Standing::Present && !names.contains(&entry.name);
        self.entries.iter_mut().filter(|entry| leaves(entry)).for_each(|entry| entry.standing = former);
        for (name, class) in names.iter().zip(classes) {
            let old = self.entries.iter().position(|entry| present(entry, name));
            if old.is_some_and(|old| self.entries[old].class == *class) {
                continue;
            }
            let mut begin = |book: &mut ClassRegistry, class: Class, standing: Standing| {
                let entry = Entry { name: name.clone(), class, standing };
                let place = book.put(now, entry, &free, &changed);
                changed.push((place, old));
            };
            begin(self, class.clone(), Standing::Present);
            if let Some(old) = old {
                let before = self.entries[old].class.retry_safety;
                if before != class.retry_safety
                    && ClassSignature::of(before) == ClassSignature::of(class.retry_safety)
                {
                    let both = Class { retry_safety: narrower(before, class.retry_safety), ..class.clone() };
                    begin(self, both, Standing::Both { until: now + BOTH_BIND });
                }
                self.entries[old].standing = former;
            }
        }
        changed
    }

    fn put(
        &mut self,
        now: Time,
        entry: Entry,
        free: &impl Fn(usize) -> bool,
        changed: &[(usize, Option<usize>)],
    ) -> usize {
        let over = |place: usize| match self.entries[place].standing {
            Standing::Present => false,
            Standing::Both { until } | Standing::Former { until } => now > until && free(place),
        };
        let taken = |place: usize| changed.iter().any(|(new, from)| *new == place || *from == Some(place));
        match (0..self.entries.len()).find(|place| over(*place) && !taken(*place)) {
            Some(place) => {
                self.entries[place] = entry;
                place
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        }
    }
}

/// What may be done under either of two effects of one form.
fn narrower(one: RetrySafety, other: RetrySafety) -> RetrySafety {
    let reach = |group: DedupScope| match group {
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

/// The number of attempts that binds after a change: both, and then the newer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptLimitTransition {
    former: Option<(u32, Time)>,
}

impl AttemptLimitTransition {
    /// A file with another number has been taken in the place of one with `former`.
    pub fn on_limit_changed(&mut self, former: u32, now: Time) {
        self.former = Some((former, now + BOTH_BIND));
    }

    /// The most that a request which comes now may have beside what the newest file allows.
    pub fn max_attempts(&self, now: Time) -> Option<u32> {
        self.former.filter(|(_, until)| now < *until).map(|(most, _)| most)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    const KEYED: RetrySafety =
        RetrySafety::Deduplicated { scope: DedupScope::All, window: Micros(7_500_000) };

    fn class(effect: RetrySafety) -> Class {
        Class { retry_safety: effect, ..Class::default() }
    }

    fn names(words: &[&str]) -> Vec<String> {
        words.iter().map(|word| (*word).to_owned()).collect()
    }

    fn book() -> ClassRegistry {
        let classes = [RetrySafety::Idempotent, KEYED, RetrySafety::AtMostOnce].map(class);
        ClassRegistry::new(&names(&["read", "log", "pay"]), &classes)
    }

    #[test]
    fn what_a_file_lacks_is_named_wherever_it_stands() {
        let present = json!({"a": 1, "b": {"c": 1.5, "d": "x"}, "z": null,
                             "l": [{"n": "1", "m": 1, "only": 1}, {"n": "2", "m": 2}], "p": [1, 2]});
        assert_eq!(missing_keys(&present, &present), Vec::<String>::new());
        let more =
            json!({"a": 2, "b": {"c": 1, "d": "y", "new": 1}, "l": [{"n": "3", "m": 0}], "p": [], "e": 1});
        assert_eq!(missing_keys(&present, &more), Vec::<String>::new());
        let less = json!({"b": {"c": null}, "l": [{"n": "1"}, {"n": 2, "m": 2}], "p": {}});
        assert_eq!(
            missing_keys(&present, &less),
            [
                "a",
                "b.c (another kind of value)",
                "b.d",
                "l[0].m",
                "l[1].n (another kind of value)",
                "p (another kind of value)"
            ]
        );
        assert_eq!(missing_keys(&present, &json!([])), [" (another kind of value)"]);
    }

    #[test]
    fn a_class_that_did_not_change_keeps_its_place() {
        let mut book = book();
        let classes = [RetrySafety::Idempotent, KEYED, RetrySafety::AtMostOnce].map(class);
        assert!(book.reconfigure(Time(1), &names(&["read", "log", "pay"]), &classes, |_| true).is_empty());
        let turned = [KEYED, RetrySafety::Idempotent, RetrySafety::AtMostOnce].map(class);
        assert!(book.reconfigure(Time(2), &names(&["log", "read", "pay"]), &turned, |_| true).is_empty());
        assert_eq!(
            book.find(Time(3), "log", ClassSignature::WithIdempotencyKey),
            Ok(1),
            "whatever the order"
        );
    }

    /// Old clients and new ones at the same time, each by the rules that it goes by.
    #[test]
    fn a_request_s_form_tells_which_rules_it_was_made_for() {
        let mut book = book();
        let classes = [KEYED, RetrySafety::AtMostOnce].map(class);
        let changed = book.reconfigure(Time(10), &names(&["read", "pay"]), &classes, |_| true);
        assert_eq!(changed, [(3, Some(0))]);
        let soon = Time(10) + FORMER_KNOWN * 0.9;
        assert_eq!(book.find(soon, "read", ClassSignature::SafeMethod), Ok(0));
        assert_eq!(book.find(soon, "read", ClassSignature::WithIdempotencyKey), Ok(3));
        assert_eq!(
            book.find(soon, "log", ClassSignature::WithIdempotencyKey),
            Ok(1),
            "it has been dropped, and clients will hear so"
        );
        let later = Time(10) + FORMER_KNOWN * 1.1;
        assert_eq!(
            book.find(later, "read", ClassSignature::SafeMethod),
            Err(IncompatibleClass::Signature(KEYED))
        );
        assert_eq!(
            book.find(later, "log", ClassSignature::WithIdempotencyKey),
            Err(IncompatibleClass::Unknown)
        );
        assert_eq!(book.find(later, "pay", ClassSignature::WithIdempotencyKey), Ok(2), "a key does no harm");
        assert_eq!(
            book.find(later, "pay", ClassSignature::SafeMethod),
            Err(IncompatibleClass::Signature(RetrySafety::AtMostOnce))
        );
    }

    #[test]
    fn where_the_form_tells_nothing_both_rules_bind_for_a_while() {
        let mut book = book();
        let newer = RetrySafety::Deduplicated { scope: DedupScope::Zone, window: Micros(9_000_000) };
        let classes = [RetrySafety::Idempotent, newer, RetrySafety::AtMostOnce].map(class);
        let changed = book.reconfigure(Time(0), &names(&["read", "log", "pay"]), &classes, |_| true);
        assert_eq!(changed, [(3, Some(1)), (4, Some(1))]);
        let effect = |at: Time| {
            book.classes()[book.find(at, "log", ClassSignature::WithIdempotencyKey).expect("it is there")]
                .retry_safety
        };
        assert_eq!(
            effect(Time(1)),
            RetrySafety::Deduplicated { scope: DedupScope::Zone, window: Micros(7_500_000) }
        );
        assert_eq!(effect(Time(0) + BOTH_BIND), newer);
    }

    #[test]
    fn places_are_used_again_only_when_nothing_refers_to_them() {
        let mut book = book();
        let mut now = Time(0);
        let mut most = 0;
        for n in 0..1000_u64 {
            now = now + FORMER_KNOWN * 1.5;
            let classes = [Class { deadline: Micros(1_000_000 + n), ..class(RetrySafety::Idempotent) }];
            let changed = book.reconfigure(now, &names(&["read"]), &classes, |place| place != 1);
            assert!(changed.iter().all(|(place, _)| *place != 1), "somebody refers to it");
            assert_eq!(
                book.classes()[book.find(now, "read", ClassSignature::SafeMethod).expect("it is there")],
                classes[0]
            );
            most = most.max(book.len());
        }
        assert!(most <= 6, "{most} places for one class");
    }

    /// Files by the dozen within the time of the first: a request is never given rules that no file had.
    #[test]
    fn files_in_quick_succession() {
        let mut book = book();
        for n in 0..20_u64 {
            let window = Micros(1_000_000 * (n + 1));
            let effect = RetrySafety::Deduplicated { scope: DedupScope::All, window };
            book.reconfigure(Time(n), &names(&["log"]), &[class(effect)], |_| true);
            let place = book.find(Time(n), "log", ClassSignature::WithIdempotencyKey).expect("it is there");
            let RetrySafety::Deduplicated { window: bound, .. } = book.classes()[place].retry_safety else {
                panic!("keyed");
            };
            assert!(bound <= window, "the narrower one binds");
            assert_eq!(book.name(place), "log");
        }
    }

    #[test]
    fn names_keep_their_places() {
        let (all, places) = merge_names(&names(&["a", "b"]), &names(&["c", "b", "c"]));
        assert_eq!((all, places), (names(&["a", "b", "c"]), vec![2, 1, 2]));
    }

    #[test]
    fn a_higher_number_of_attempts_binds_once_the_lower_one_no_longer_does() {
        let mut attempts = AttemptLimitTransition::default();
        assert_eq!(attempts.max_attempts(Time(0)), None);
        attempts.on_limit_changed(2, Time(0));
        assert_eq!(attempts.max_attempts(Time(1)), Some(2));
        assert_eq!(attempts.max_attempts(Time(0) + BOTH_BIND), None);
    }
}
