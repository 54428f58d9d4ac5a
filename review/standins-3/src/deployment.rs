//! A small deployment, with the figures of the site `rvj-cautare`.

use std::{env, fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use crate::{
    fleet::{Instance, Settings},
    record::Record,
    server::{Kind, Runs, Server},
    store::Store,
};

/// `memoryMb` of a machine.
pub const MEMORY_MB: u32 = 110;

/// `touchMs`.
pub const TOUCH: Duration = Duration::from_millis(3_000);

/// `drainTimeoutMs`.
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// `timeoutMs` of the plain routes.
pub const PLAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Key of the ordinary clients' tenant.
pub const ORDINARY_KEY: &str = "ordinary-key";

/// Key of the tenant of the client that nobody controls.
pub const UNKNOWN_KEY: &str = "unknown-key";

/// Path of a streaming route that can't be resumed.
pub const STREAM_PATH: &str = "/lohu930/2f";

/// Path of an idempotent route of the plain service.
pub const READ_PATH: &str = "/cufi504/2f";

/// Path of a route of the plain service whose requests may run once.
pub const WRITE_PATH: &str = "/puxa403/2f";

/// Path of a streaming route that can be resumed.
pub const RESUMABLE_PATH: &str = "/pufi791/2f";

/// The operator's configuration.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-summary","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"model","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResumption":false,"gapAimMs":300},
{"name":"r-party","host":"ficu95.example","prefix":"/pufi791/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":1,"service":"model","maxAttempts":2,"public":false,"sessionAffinity":true,"streamResumption":true,"gapAimMs":300},
{"name":"r-write","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"registry","maxAttempts":1,"public":false},
{"name":"r-read","host":"ficu95.example","prefix":"/cufi504/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"registry","maxAttempts":2,"public":false}],
"services":[
{"name":"model","healthCheckPath":"/health","connectionLimit":360,"protocol":"h1","tlsEnabled":false,"inferenceEngine":{"slots":10,"kvCacheTokens":529959,"kvTokenBytes":163840,"bandwidthMbps":180000.0,"stride":5,"models":[{"name":"m"}]}},
{"name":"registry","healthCheckPath":"/health","connectionLimit":100,"protocol":"h1","tlsEnabled":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[
{"name":"ordinary","apiKeys":["ordinary-key"],"priority":1,"unit":"token_count","uncachedTokens":200,"ratePerS":148016,"burst":148016},
{"name":"unknown","apiKeys":["unknown-key"],"priority":1,"unit":"token_count","uncachedTokens":200,"ratePerS":148016,"burst":148016}]}"#;

/// The deployment: its store, servers and machines.
pub struct Deployment {
    pub record: Record,
    pub store: Arc<Store>,
    pub runs: Runs,
    pub models: Vec<Arc<Server>>,
    pub registries: Vec<Arc<Server>>,
    pub directory: PathBuf,
}

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

impl Deployment {
    /// Starts the store and the servers; the folder and the record are named by the arguments of
    /// the program.
    pub fn start() -> Self {
        Self::start_with(|_| {})
    }

    /// Starts the store and the servers; `change` may change what a server is.
    pub fn start_with<F>(change: F) -> Self
    where
        F: Fn(&mut Kind),
    {
        let arguments: Vec<String> = env::args().collect();
        let [_, directory, record] = arguments.as_slice() else {
            eprintln!("expected a folder for temporary files and the path of the record");
            std::process::exit(2);
        };
        let directory = PathBuf::from(directory);
        fs::create_dir_all(&directory).expect("the folder can be made");
        let record = Record::create(record);
        let store = Store::start();
        store.put("op/config", CONFIG);
        let runs = Runs::default();
        let zones = ["cluj-a", "cluj-b", "sibiu-c"];
        let server = |service: &str, number: usize, slots, work, events, gap| {
            let mut kind = Kind {
                id: format!("i-{service}-{number}"),
                service: service.into(),
                zone: zones[number % zones.len()].into(),
                version: "v1".into(),
                slots,
                work,
                events,
                gap,
                is_sized: false,
            };
            change(&mut kind);
            Server::start(kind, &store, &record, &runs)
        };
        let ms = Duration::from_millis;
        let models = (0..9).map(|n| server("model", n, 10, ms(100), 40, ms(20))).collect();
        let registries = (0..3).map(|n| server("registry", n, 6, ms(60), 0, ms(0))).collect();
        Self { record, store, runs, models, registries, directory }
    }

    /// Prepares machines; `store` is the address at which they reach the store.
    pub fn machines(&self, count: usize, store: SocketAddr) -> Vec<Instance> {
        let settings = Settings {
            memory_mb: MEMORY_MB,
            descriptors: 4_100,
            cores: 0.25,
            retry_slack: 54,
            store,
        };
        let zones = ["cluj-a", "cluj-b", "sibiu-c"];
        (0..count)
            .map(|number| {
                let name = format!("frontend-{number}");
                let zone = zones[number % zones.len()];
                Instance::new(&self.directory, &name, zone, &settings, &self.record)
            })
            .collect()
    }
}
