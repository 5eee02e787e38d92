//! Plain services and their calls.

section! {
    /// A plain service, called under `/v1/services/{name}/`.
    pub struct Service {
        /// The name in the path.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The calls of the service; the first one that matches a request applies.
        #[schemars(length(min = 1))]
        pub calls: Vec<Call>,
        /// The timeout for a backend server to answer one call, in milliseconds.
        #[serde(default = "call_timeout")]
        #[schemars(range(min = 1))]
        pub timeout_ms: u64,
    }

    /// A call of a plain service.
    pub struct Call {
        /// The request kind under which reports count it.
        #[schemars(length(min = 1))]
        pub kind: String,
        /// The HTTP method, or `*` for every method.
        #[serde(default = "any_method")]
        #[schemars(length(min = 1))]
        pub method: String,
        /// The path prefix below the service; empty for every path.
        #[serde(default)]
        pub path: String,
        /// The rank of its requests.
        pub rank: String,
        /// Whether the call is idempotent: running it twice does no harm. Other calls need the
        /// header `Idempotency-Key` and run at most once.
        #[serde(default = "default_true")]
        pub repeatable: bool,
    }
}

fn call_timeout() -> u64 {
    5_000
}

fn any_method() -> String {
    "*".to_owned()
}

fn default_true() -> bool {
    true
}

impl Service {
    /// Returns the first call that matches a request.
    pub fn call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls.iter().find(|c| c.matches(method, path))
    }
}

impl Call {
    /// Whether a request matches this call. A prefix matches whole path segments only, so that
    /// `stock` does not match `stockade`.
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        let prefix = self.path.trim_matches('/');
        let rest = path.trim_start_matches('/').strip_prefix(prefix);
        let path_fits = match rest {
            Some(rest) => prefix.is_empty() || rest.is_empty() || rest.starts_with('/'),
            None => false,
        };
        method_fits && path_fits
    }
}
