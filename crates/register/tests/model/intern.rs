//! Interns recurring values as numbers, which keeps the states of the search small.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::rc::Rc;

/// A fast hash without a random seed, so that runs are reproducible.
#[derive(Default)]
pub struct MixingHasher(u64);

/// Odd, with about as many ones as zeros.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl MixingHasher {
    fn mix(&mut self, word: u64) {
        let product =
            u128::from(self.0 ^ word ^ MULTIPLIER) * u128::from(MULTIPLIER ^ word.rotate_left(32) | 1);
        self.0 = (product as u64) ^ ((product >> 64) as u64) ^ self.0.rotate_left(23);
    }
}

impl Hasher for MixingHasher {
    fn finish(&self) -> u64 {
        let mut hash = self.0;
        for _ in 0..2 {
            hash = (hash ^ (hash >> 32)).wrapping_mul(MULTIPLIER);
        }
        hash ^ (hash >> 29)
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.mix(u64::from_le_bytes(word));
        }
    }

    fn write_u8(&mut self, number: u8) {
        self.mix(number.into());
    }

    fn write_u32(&mut self, number: u32) {
        self.mix(number.into());
    }

    fn write_u64(&mut self, number: u64) {
        self.mix(number);
    }

    fn write_usize(&mut self, number: usize) {
        self.mix(number as u64);
    }
}

/// Builds [`MixingHasher`]s.
pub type FixedHasher = BuildHasherDefault<MixingHasher>;
/// A map whose iteration order affects no output.
pub type FixedMap<K, V> = HashMap<K, V, FixedHasher>;

/// Stores each distinct value once, numbered consecutively from zero.
pub struct Interner<T> {
    numbers: FixedMap<Rc<T>, u32>,
    values: Vec<Rc<T>>,
}

impl<T: Hash + Eq> Interner<T> {
    pub fn new() -> Self {
        Interner { numbers: FixedMap::default(), values: Vec::new() }
    }

    /// The number of a value, and whether it is new.
    pub fn number(&mut self, value: T) -> (u32, bool) {
        if let Some(number) = self.numbers.get(&value) {
            return (*number, false);
        }
        let number = self.values.len() as u32;
        let value = Rc::new(value);
        self.values.push(value.clone());
        self.numbers.insert(value, number);
        (number, true)
    }

    pub fn get(&self, number: u32) -> Rc<T> {
        self.values[number as usize].clone()
    }

    pub fn len(&self) -> usize {
        self.values.len()
    }
}
