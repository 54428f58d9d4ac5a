//! What the cases share: free addresses, a temporary folder, the configuration and the instances.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::Duration,
};

use crate::{
    instance::{Instance, give_up},
    record::Record,
    store::{self, Store},
};

/// Host of all routes.
pub const HOST: &str = "review.example";

/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Addresses and folder of a case.
pub struct Setup {
    /// Second and third byte of all addresses.
    net: [u8; 2],
    pub folder: PathBuf,
    pub record: Record,
    pub store: Store,
}

impl Setup {
    /// Chooses a part of the loopback range that nothing uses, and a temporary folder.
    pub fn new(record: &Path) -> Self {
        let pid = std::process::id();
        let net = (0..200).map(|step| {
            let number = pid.wrapping_mul(7).wrapping_add(step * 13);
            [100 + (number % 100) as u8, (number / 100 % 250) as u8]
        });
        let is_free = |net: &[u8; 2]| {
            let addresses = [1, 2, 3, 4].map(|last| Ipv4Addr::new(127, net[0], net[1], last));
            addresses.iter().all(|ip| TcpListener::bind((*ip, 8221)).is_ok())
        };
        let net = net.into_iter().find(is_free).expect("some addresses are free");
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be created");
        let record = Record::create(record);
        let store = Store::new(&record);
        Self { net, folder, record, store }
    }

    /// Returns an address; the last byte is chosen by the case.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last)
    }

    /// Returns an address with a port.
    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        (self.ip(last), port).into()
    }

    /// Writes the configuration: a route for each of these services, by name, kind and time-out.
    pub fn configure(&self, routes: &[(&str, &str, u32)]) {
        self.write_configuration(routes, "\"ratePerS\":0");
    }

    /// Writes the configuration: a route for a service of streams, and a limit for the tenant, in
    /// tokens a second and in a burst.
    pub fn configure_limited(&self, service: &str, rate: u64, burst: u64) {
        let limit = format!(
            "\"unit\":\"token_count\",\"uncachedTokens\":200,\"ratePerS\":{rate},\"burst\":{burst}"
        );
        self.write_configuration(&[(service, "streaming", 15_000)], &limit);
    }

    fn write_configuration(&self, routes: &[(&str, &str, u32)], limit: &str) {
        let each = routes.iter().map(|(service, kind, timeout)| {
            let is_stream = *kind == "streaming";
            let stream = if is_stream { ",\"streamResumption\":true,\"gapAimMs\":300" } else { "" };
            format!(
                "{{\"name\":\"r-{service}\",\"host\":\"{HOST}\",\"prefix\":\"/{service}/\",\
                 \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":400,\"priority\":1,\
                 \"service\":\"{service}\",\"maxAttempts\":2,\"public\":false{stream}}}"
            )
        });
        let services = routes.iter().map(|(service, _, _)| {
            format!(
                "{{\"name\":\"{service}\",\"healthCheckPath\":\"/health\",\"connectionLimit\":370,\
                 \"protocol\":\"h1\",\"tlsEnabled\":false}}"
            )
        });
        let (each, services): (Vec<String>, Vec<String>) = (each.collect(), services.collect());
        let config = format!(
            "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"desk\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,{limit}}}]}}",
            each.join(","),
            services.join(",")
        );
        self.store.put("op/config", &config);
    }

    /// Starts an instance at the address with this last byte, with a path of its own to the store,
    /// and waits until it is ready and registered.
    pub fn instance(
        &self,
        last: u8,
        translations: Vec<(String, String)>,
    ) -> (Instance, store::Path) {
        let name = format!("frontend-a-{last}");
        let address = self.address(200 + last, 8225);
        let path = self.store.open_path(&name, address, translations);
        let instance = Instance::start(&name, self.ip(last), address, &self.folder, &self.record);
        let key = format!("lacewingspring/instances/{name}");
        let is_ready = instance.wait_until_ready();
        for _ in 0..50 {
            if self.store.has(&key) {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        if !is_ready || !self.store.has(&key) {
            give_up(&format!("{name} does not become ready"));
        }
        (instance, path)
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the head of a request, without its last empty line.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingspring-Attempt-Id: {id}\r\n\
         X-Lacewingspring-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{more}",
        deadline.as_millis()
    )
}
