//! Two example deployments: their failure domains, VMs, tables and entry VMs.

use std::path::Path;

use hemlock_lib::declaration::Declaration;
use hemlock_lib::hash;
use hemlock_lib::ids::{Offset, VmId};
use hemlock_lib::message_auth::{Key, KeyRing};
use hemlock_lib::settings::Settings;
use hemlock_lib::table::{AccountRow, Edit, GroupRow, Row, RowKey, ServiceRow, VersionRow};

use crate::platform::VmSpec;

/// An example deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Tallow Creek Public Utilities.
    TallowCreek,
    /// Qairouan Converting Labs.
    Qairouan,
}

/// VMs of a deployment that run model engines.
pub const ENGINE_VMS: usize = 60;
/// VMs of a deployment that run the plain service.
pub const SERVICE_VMS: usize = 3;
/// VMs that one replica spans.
pub const VMS_PER_REPLICA: u32 = 4;

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::TallowCreek, Self::Qairouan];

    /// Returns the short name, which prefixes the names of entry VMs.
    pub fn name(self) -> &'static str {
        match self {
            Self::TallowCreek => "tallow-creek",
            Self::Qairouan => "qairouan",
        }
    }

    /// Returns the names of the failure domains.
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::TallowCreek => ["riverside", "pinehill", "cotton-row"],
            Self::Qairouan => ["sfax-north", "sfax-port", "sfax-south"],
        }
    }

    /// Returns the name of the model group.
    pub fn group(self) -> &'static str {
        match self {
            Self::TallowCreek => "listwriter",
            Self::Qairouan => "floor-assistant",
        }
    }

    /// Returns the name of the plain service.
    pub fn service(self) -> &'static str {
        match self {
            Self::TallowCreek => "portal-app",
            Self::Qairouan => "plant-ledger",
        }
    }

    /// Returns the endpoint VMs, spread evenly over the failure domains.
    pub fn vms(self) -> Vec<VmSpec> {
        let domains = self.domains();
        let engine = |i: usize| {
            let domain = domains[i % domains.len()];
            let vm = VmId::new(format!("{domain}-{:02}", i / domains.len()));
            VmSpec {
                vm,
                domain: domain.into(),
                service: None,
            }
        };
        let service = |i: usize| {
            let vm = VmId::new(format!("{}-{i}", self.service()));
            VmSpec {
                vm,
                domain: domains[i % 3].into(),
                service: Some(self.service().into()),
            }
        };
        (0..ENGINE_VMS)
            .map(engine)
            .chain((0..SERVICE_VMS).map(service))
            .collect()
    }

    /// Returns the API key of a client account.
    pub fn account_key(self, account: &str) -> String {
        format!("{}-{account}-key", self.name())
    }

    /// Returns the names of the client accounts, the three large ones first.
    pub fn accounts(self) -> Vec<String> {
        (1..=10).map(|i| format!("account-{i:02}")).collect()
    }

    /// Returns the edits that fill an empty table.
    pub fn table_edits(self) -> Vec<Edit> {
        let (downtime, stranded) = match self {
            Self::TallowCreek => (3.0, 1.0),
            Self::Qairouan => (1.0, 3.0),
        };
        let group = GroupRow {
            replicas: 15,
            minimum: 9,
            downtime,
            stranded,
            reserve: 0,
            slots: 8,
        };
        let version = VersionRow {
            group: self.group().into(),
            weight: 1.0,
            span: VMS_PER_REPLICA,
        };
        let version_id = format!("{}-v1", self.group());
        let mut edits = vec![
            insert_edit(RowKey::Group(self.group().into()), Row::Group(group)),
            insert_edit(
                RowKey::Version(version_id.as_str().into()),
                Row::Version(version),
            ),
            insert_edit(
                RowKey::Service(self.service().into()),
                Row::Service(ServiceRow { slots: 16 }),
            ),
        ];
        for (i, account) in self.accounts().iter().enumerate() {
            let large = i < 3;
            let row = AccountRow {
                key_hash: hash::sha256_hex(self.account_key(account).as_bytes()),
                weight: if large { 4.0 } else { 1.0 },
                requests: if large { 400.0 } else { 100.0 },
                tokens: if large { 40_000.0 } else { 10_000.0 },
                concurrency: if large { 400 } else { 100 },
            };
            edits.push(insert_edit(
                RowKey::Account(account.as_str().into()),
                Row::Account(row),
            ));
        }
        edits
    }

    /// Returns the same table as a declaration file in YAML.
    ///
    /// # Panics
    ///
    /// Panics if a row can't be written as YAML, which is a bug in the row's type.
    pub fn declaration(self) -> String {
        let mut declaration = Declaration::default();
        for edit in self.table_edits() {
            match (edit.key, edit.row) {
                (RowKey::Group(id), Some(Row::Group(row))) => {
                    declaration.groups.insert(id.to_string(), row);
                }
                (RowKey::Version(id), Some(Row::Version(row))) => {
                    declaration.versions.insert(id.to_string(), row);
                }
                (RowKey::Account(id), Some(Row::Account(row))) => {
                    declaration.accounts.insert(id.to_string(), row);
                }
                (RowKey::Service(id), Some(Row::Service(row))) => {
                    declaration.services.insert(id.to_string(), row);
                }
                _ => {}
            }
        }
        serde_yaml_ng::to_string(&declaration).expect("rows have only fields that YAML can hold")
    }

    /// Returns the settings of entry VM `index` as YAML. Each entry VM uses three ports, the first one
    /// from `port` on. `log` and `vms` are the URLs of the platform.
    pub fn settings(self, index: usize, port: u16, log: &str, vms: &str) -> String {
        let domain = self.domains()[index % 3];
        let domains = self.domains().join(", ");
        let first_port = port + index as u16 * 3;
        let (gateway, agent, gossip) = (first_port, first_port + 1, first_port + 2);
        format!(
            "entry: {}-entry-{index}\n\
             domain: {domain}\n\
             domains: [{domains}]\n\
             platform:\n  log: {log}\n  vms: {vms}\n\
             gateway:\n  listen: 127.0.0.1:{gateway}\n  advertise: http://127.0.0.1:{gateway}\n\
             agent:\n  listen: 127.0.0.1:{agent}\n  advertise: http://127.0.0.1:{agent}\n  \
             gossip: 127.0.0.1:{gossip}\n  keys: [{{id: 1, file: gossip.key}}]\n\
             log:\n  level: warn\n",
            self.name()
        )
    }

    /// Returns the parsed settings of entry VM `index`.
    ///
    /// # Panics
    ///
    /// Panics if the settings are invalid, which is a bug in this module.
    pub fn parsed_settings(self, index: usize, port: u16, log: &str, vms: &str) -> Settings {
        let text = self.settings(index, port, log, vms);
        Settings::parse(Path::new("deployment.yaml"), &text)
            .expect("the deployment's settings are valid")
    }
}

/// Returns the message authentication keys that the entry VMs of tests share.
pub fn test_keys() -> KeyRing {
    KeyRing::new(vec![Key {
        id: 1,
        secret: b"test secret".to_vec(),
    }])
}

/// Returns an edit that inserts a row.
pub fn insert_edit(key: RowKey, row: Row) -> Edit {
    Edit {
        key,
        base: None,
        row: Some(row),
    }
}

/// Returns an edit that replaces a row whose version is `base`.
pub fn update_edit(key: RowKey, base: Offset, row: Row) -> Edit {
    Edit {
        key,
        base: Some(base),
        row: Some(row),
    }
}
