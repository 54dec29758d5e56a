//! A batch log under lost answers, late puts, paused writers and writers that lose their memory.

mod model;

use std::collections::BTreeMap;

use coordination::batch::{Entry, Log};
use model::Rng;
use policy::name::Name;
use policy::time::Millis;

const NOW: Millis = Millis(1);
const WRITERS: usize = 3;

#[derive(Clone, Debug)]
struct Item(Name);

impl Entry for Item {
    fn id(&self) -> &Name {
        &self.0
    }
}

type NumberedBatch = (u64, Vec<Name>);

/// The object store with puts on their way, and the writers of one log.
#[derive(Default)]
struct Simulation {
    store: BTreeMap<u64, Vec<Name>>,
    delayed: Vec<NumberedBatch>,
    writers: Vec<Log<Item>>,
    /// Whether the writer knows its next number to be free.
    at_end: Vec<bool>,
    added: Vec<Name>,
}

impl Simulation {
    fn new() -> Self {
        let writers = (0..WRITERS).map(|_| Log::default()).collect();
        Self { writers, at_end: vec![false; WRITERS], ..Self::default() }
    }

    /// Put if absent; true if it took effect.
    fn put_if_absent(&mut self, (number, ids): NumberedBatch) -> bool {
        let absent = !self.store.contains_key(&number);
        if absent {
            self.store.insert(number, ids);
        }
        absent
    }

    fn add(&mut self, rng: &mut Rng) {
        let id = Name::from(format!("r{}", rng.below(40)));
        if !self.added.contains(&id) {
            self.added.push(id.clone());
            // Two hold it, or all; a retry may bring it to any of them again later.
            for writer in 0..2 + rng.below(WRITERS - 1) {
                self.hold(writer, &id);
            }
        } else {
            self.hold(rng.below(WRITERS), &id);
        }
    }

    /// A bill that comes from elsewhere may stand in batches already read past.
    fn hold(&mut self, writer: usize, id: &Name) {
        self.writers[writer].add(Item(id.clone()));
    }

    /// The writer reads its next number, or puts there.
    fn write(&mut self, writer: usize, rng: &mut Rng) {
        let number = self.writers[writer].next_number();
        if !self.at_end[writer] {
            match self.store.get(&number) {
                Some(ids) => _ = self.writers[writer].apply_batch(number, &ids.clone(), NOW),
                None => self.at_end[writer] = true,
            }
            return;
        }
        let Some((number, items)) = self.writers[writer].next_batch(3) else { return };
        let ids: Vec<_> = items.iter().map(|item| item.0.clone()).collect();
        let batch = (number, ids.clone());
        self.at_end[writer] = false;
        match rng.below(4) {
            // The answer is lost before the effect, or the effect comes later.
            0 => self.delayed.push(batch),
            // The answer is lost after the effect.
            1 => _ = self.put_if_absent(batch),
            _ if self.put_if_absent(batch) => {
                self.at_end[writer] = true;
                self.writers[writer].apply_batch(number, &ids, NOW);
            }
            _ => {}
        }
    }

    fn step(&mut self, rng: &mut Rng) {
        match rng.below(10) {
            0 | 1 => self.add(rng),
            2 if !self.delayed.is_empty() => {
                let index = rng.below(self.delayed.len());
                let batch = self.delayed.swap_remove(index);
                self.put_if_absent(batch);
            }
            // One writer of the three is lost with its memory and starts anew.
            3 if rng.once_in(8) => {
                self.writers[2] = Log::default();
                self.at_end[2] = false;
            }
            _ => self.write(rng.below(WRITERS), rng),
        }
    }

    fn check(&self) {
        let mut seen = std::collections::BTreeSet::new();
        for id in self.store.values().flatten() {
            assert!(seen.insert(id), "{id} stands twice");
        }
        for id in &self.added {
            let held = self.writers.iter().any(|writer| writer.pending().contains_key(id));
            assert!(held || seen.contains(id), "{id} is lost");
        }
        let next = self.store.len() as u64;
        assert!(self.store.keys().copied().eq(0..next), "the log has a gap");
    }
}

fn run(seed: u64) {
    let mut rng = Rng::new(seed);
    let mut simulation = Simulation::new();
    for _ in 0..250 {
        simulation.step(&mut rng);
        simulation.check();
    }
    // With no more faults all writers come to an end, and everything is stored.
    simulation.delayed.clear();
    for _ in 0..300 {
        let writer = rng.below(WRITERS);
        let number = simulation.writers[writer].next_number();
        match simulation.store.get(&number).cloned() {
            Some(ids) => _ = simulation.writers[writer].apply_batch(number, &ids, NOW),
            None => {
                if let Some((number, items)) = simulation.writers[writer].next_batch(3) {
                    simulation
                        .put_if_absent((number, items.into_iter().map(|item| item.0).collect()));
                }
            }
        }
    }
    simulation.check();
    assert!(simulation.writers.iter().all(|writer| writer.pending().is_empty()));
}

/// A caller's bill would be taken twice, or never: an entry host sends it to several controls
/// after lost answers; each puts batches whose answers are lost before or after the effect; a
/// control loses its memory. The store refuses a second put at a number, and who was refused reads
/// that number before it goes on.
#[test]
fn log_random_events() {
    (0..60).for_each(run);
    fuzz::check(60, |seed: &u64| run(*seed));
}

/// The paused writer comes back after a holder has put its tail: it finds its number taken.
#[test]
fn log_paused_writer_returns() {
    let mut paused = Log::default();
    let mut holder = Log::default();
    for id in ["a", "b"] {
        assert!(paused.add(Item(Name::from(id))));
        assert!(holder.add(Item(Name::from(id))));
    }
    let (number, tail) = holder.next_batch(10).expect("two pending");
    let ids: Vec<_> = tail.into_iter().map(|item| item.0).collect();
    holder.apply_batch(number, &ids, NOW);
    assert!(paused.add(Item(Name::from("c"))));
    assert_eq!(paused.apply_batch(0, &ids, NOW).len(), 2);
    let (number, rest) = paused.next_batch(10).expect("one pending");
    assert_eq!((number, rest.len(), rest[0].id().as_str()), (1, 1, "c"));
    assert!(!paused.add(Item(Name::from("a"))), "a retry of a stored bill is no new bill");
}

#[test]
fn log_forgets() {
    let mut log = Log::default().starting_at(7);
    assert!(log.add(Item(Name::from("a"))));
    log.apply_batch(7, &[Name::from("a")], Millis(5));
    assert_eq!(log.next_number(), 8);
    log.forget(Millis(6));
    assert!(log.add(Item(Name::from("a"))));
    // Whoever takes it for old goes back and finds it.
    let mut log = log.starting_at(7);
    assert_eq!(log.apply_batch(7, &[Name::from("a")], Millis(9)).len(), 1);
}
