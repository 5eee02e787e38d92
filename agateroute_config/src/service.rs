//! Plain services and the calls that they take.

section! {
    /// A plain service, reached under `/v1/services/{name}/`.
    pub struct Service {
        /// The name in the path.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The calls that the service takes; the first one that matches a request counts.
        #[schemars(length(min = 1))]
        pub calls: Vec<Call>,
        /// How long a backend server may take for one call, in milliseconds.
        #[serde(default = "call_timeout")]
        #[schemars(range(min = 1))]
        pub timeout_ms: u64,
    }

    /// A call of a plain service.
    pub struct Call {
        /// The request kind that reports count it under.
        #[schemars(length(min = 1))]
        pub kind: String,
        /// The HTTP method, or `*` for every method.
        #[serde(default = "any_method")]
        #[schemars(length(min = 1))]
        pub method: String,
        /// The prefix of the path below the service; empty for every path.
        #[serde(default)]
        pub path: String,
        /// The rank of its requests.
        pub rank: String,
        /// Whether running it twice does no harm. Calls that are not repeatable need the header
        /// `Idempotency-Key` and run at most once.
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
    /// Finds the call that a request matches.
    pub fn call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls.iter().find(|c| c.matches(method, path))
    }
}

impl Call {
    /// Whether a request is of this call. A prefix ends at a path segment, so that `stock` does
    /// not match `stockade`.
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
