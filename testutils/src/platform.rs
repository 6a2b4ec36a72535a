//! All stand-ins behind one HTTP address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hemlock_lib::ids::{DomainId, ServiceId, VmId};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_wire::server::{self, Server};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};

use crate::engine::{EngineConfig, Engines};
use crate::log::Log;
use crate::service::Services;
use crate::timer_thread::TimerThread;

const WORKERS: usize = 2;

/// VMs to stand in for.
#[derive(Debug, Clone)]
pub struct VmSpec {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The plain service that it runs; a model engine if `None`.
    pub service: Option<ServiceId>,
}

/// The running stand-ins.
#[derive(Debug)]
pub struct Platform {
    /// The log.
    pub log: Log,
    /// The model engines.
    pub engines: Engines,
    /// The plain services.
    pub services: Services,
    list: Arc<Mutex<Vec<VmListing>>>,
    server: Server,
}

#[derive(Debug, Clone)]
struct State {
    log: Log,
    engines: Engines,
    services: Services,
    list: Arc<Mutex<Vec<VmListing>>>,
}

impl Platform {
    /// Starts the stand-ins on `address`, such as `127.0.0.1:0`.
    pub fn spawn(
        address: &str,
        specs: &[VmSpec],
        engine_config: EngineConfig,
    ) -> std::io::Result<Self> {
        let listener = server::bind(address)?;
        let bound = listener.local_addr()?;
        let timer = TimerThread::spawn()?;
        let engines = specs
            .iter()
            .filter(|s| s.service.is_none())
            .map(|s| s.vm.clone());
        let state = State {
            log: Log::default(),
            engines: Engines::new(engine_config, engines, timer),
            services: Services::default(),
            list: Arc::new(Mutex::new(
                specs.iter().map(|s| listing(bound, s)).collect(),
            )),
        };
        let server = server::spawn("platform", listener, WORKERS, state.clone(), configure)?;
        let State {
            log,
            engines,
            services,
            list,
        } = state;
        Ok(Self {
            log,
            engines,
            services,
            list,
            server,
        })
    }

    /// Returns the base URL of the log.
    pub fn log_url(&self) -> String {
        format!("http://{}/log", self.server.address())
    }

    /// Returns the URL of the list of VMs.
    pub fn vms_url(&self) -> String {
        format!("http://{}/vms", self.server.address())
    }

    /// Removes a VM from the list.
    pub fn unlist(&self, vm: &VmId) {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|l| l.vm != *vm);
    }

    /// Marks a VM as leaving, or not.
    pub fn set_leaving(&self, vm: &VmId, leaving: bool) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        for listing in list.iter_mut().filter(|l| l.vm == *vm) {
            listing.leaving = leaving;
        }
    }

    /// Stops the stand-ins.
    pub fn stop(self) {
        self.server.stop(false);
    }
}

fn listing(bound: SocketAddr, spec: &VmSpec) -> VmListing {
    VmListing {
        vm: spec.vm.clone(),
        address: format!("http://{bound}/vm/{}", spec.vm),
        domain: spec.domain.clone(),
        role: spec.service.clone().map_or(VmRole::Engine, VmRole::Service),
        leaving: false,
    }
}

fn configure(config: &mut ServiceConfig) {
    config
        .route("/log/append", web::post().to(append))
        .route("/log/read", web::post().to(read))
        .route("/vms", web::get().to(vms))
        .route("/vm/{vm}/v1/state", web::get().to(state_of))
        .route("/vm/{vm}/v1/orders", web::post().to(order))
        .route("/vm/{vm}/v1/generate", web::post().to(generate))
        .route("/vm/{vm}/{path}*", web::to(call));
}

async fn append(state: types::State<State>, body: Bytes) -> HttpResponse {
    state.log.serve_append(&body).await
}

async fn read(state: types::State<State>, body: Bytes) -> HttpResponse {
    state.log.serve_read(&body).await
}

async fn vms(state: types::State<State>) -> HttpResponse {
    let list = state
        .list
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    HttpResponse::Ok().json(&list)
}

async fn state_of(
    state: types::State<State>,
    vm: types::Path<String>,
    request: HttpRequest,
) -> HttpResponse {
    let vm = VmId::new(vm.into_inner());
    let list = state.list.lock().unwrap_or_else(PoisonError::into_inner);
    if list.iter().any(|l| l.vm == vm && l.role != VmRole::Engine) {
        return HttpResponse::Ok().body("ok\n");
    }
    drop(list);
    state.engines.serve_state(&vm, &request)
}

async fn order(
    state: types::State<State>,
    vm: types::Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    state
        .engines
        .serve_order(&VmId::new(vm.into_inner()), &request, &body)
}

async fn generate(
    state: types::State<State>,
    vm: types::Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    state
        .engines
        .serve_generate(&VmId::new(vm.into_inner()), &request, &body)
        .await
}

async fn call(state: types::State<State>, request: HttpRequest, body: Bytes) -> HttpResponse {
    state.services.serve(&request, &body)
}
