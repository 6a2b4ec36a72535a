//! Stub of the platform: the log, the list of VMs, the engines and the plain services behind one
//! HTTP address.

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

const SERVER_THREADS: usize = 2;

/// A VM to stub.
#[derive(Debug, Clone)]
pub struct VmSpec {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Plain service that the VM runs. `None` stands for a model engine.
    pub service: Option<ServiceId>,
}

/// The running stubs.
#[derive(Debug)]
pub struct Platform {
    /// Stub of the log.
    pub log: Log,
    /// Stubs of the model engines.
    pub engines: Engines,
    /// Stubs of the plain services.
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
    /// Starts the stubs on `address`, such as `127.0.0.1:0`.
    ///
    /// Fails if the address can't be bound or a thread can't be started.
    pub fn spawn(
        address: &str,
        specs: &[VmSpec],
        engine_config: EngineConfig,
    ) -> std::io::Result<Self> {
        let listener = server::bind(address)?;
        let server_address = listener.local_addr()?;
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
                specs.iter().map(|s| listing(server_address, s)).collect(),
            )),
        };
        let server = server::spawn("platform", listener, SERVER_THREADS, state.clone(), routes)?;
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

    /// Removes a VM from the list of VMs. Its endpoint still answers.
    pub fn remove_from_list(&self, vm: &VmId) {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|l| l.vm != *vm);
    }

    /// Sets whether the list of VMs shows a VM as leaving.
    pub fn set_leaving(&self, vm: &VmId, leaving: bool) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        for listing in list.iter_mut().filter(|l| l.vm == *vm) {
            listing.leaving = leaving;
        }
    }

    /// Stops the stubs' server without waiting for open requests.
    pub fn stop(self) {
        self.server.stop(false);
    }
}

fn listing(server_address: SocketAddr, spec: &VmSpec) -> VmListing {
    VmListing {
        vm: spec.vm.clone(),
        address: format!("http://{server_address}/vm/{}", spec.vm),
        domain: spec.domain.clone(),
        role: spec.service.clone().map_or(VmRole::Engine, VmRole::Service),
        leaving: false,
    }
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/log/append", web::post().to(append))
        .route("/log/read", web::post().to(read))
        .route("/vms", web::get().to(vms))
        .route("/vm/{vm}/v1/state", web::get().to(engine_state))
        .route("/vm/{vm}/v1/orders", web::post().to(order))
        .route("/vm/{vm}/v1/generate", web::post().to(generate))
        .route("/vm/{vm}/{path}*", web::to(call_service));
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

async fn engine_state(
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

async fn call_service(
    state: types::State<State>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    state.services.serve(&request, &body)
}
