//! Index of the client accounts by key hash.

use std::collections::BTreeMap;

use subtle::ConstantTimeEq;

use crate::ids::AccountId;
use crate::table::{AccountRow, Table};

/// Bytes of a key hash that the index looks up; whole hashes are then compared in constant time.
const PREFIX_BYTES: usize = 4;

/// A client account and its row of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the client account.
    pub id: AccountId,
    /// Limits, weight and key hash of the client account.
    pub row: AccountRow,
}

/// Index of the client accounts in a table.
#[derive(Debug, Default)]
pub struct Accounts {
    by_prefix: BTreeMap<Vec<u8>, Vec<AccountId>>,
    by_name: BTreeMap<AccountId, Account>,
}

impl Accounts {
    /// Indexes the client accounts of a table.
    pub fn index(table: &Table) -> Self {
        let mut accounts = Self::default();
        for (id, row) in table.accounts() {
            let account = Account {
                id: id.clone(),
                row: row.clone(),
            };
            let prefix = prefix(&row.key_hash).to_vec();
            let ids = accounts.by_prefix.entry(prefix).or_default();
            ids.push(id.clone());
            accounts.by_name.insert(id.clone(), account);
        }
        accounts
    }

    /// Returns the client account whose key has this SHA-256 in lower-case hexadecimal.
    pub fn find(&self, key_hash: &str) -> Option<&Account> {
        let ids = self.by_prefix.get(prefix(key_hash))?;
        let matches_hash =
            |a: &&Account| bool::from(a.row.key_hash.as_bytes().ct_eq(key_hash.as_bytes()));
        let mut ids = ids.iter().filter_map(|id| self.by_name.get(id));
        ids.find(matches_hash)
    }

    /// Lists the client accounts in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.by_name.values()
    }

    /// Returns the client account with this name.
    pub fn get(&self, id: &AccountId) -> Option<&Account> {
        self.by_name.get(id)
    }
}

fn prefix(key_hash: &str) -> &[u8] {
    let bytes = key_hash.as_bytes();
    &bytes[..bytes.len().min(PREFIX_BYTES)]
}
