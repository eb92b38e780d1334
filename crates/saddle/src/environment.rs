//! Environment variables that replace options.

/// The environment variables of a command; tests pass their own values.
#[derive(Clone, Default)]
pub struct CliEnvironment {
    /// Value of `SADDLE_ENTRY`: one or more `IP:PORT`, separated by commas.
    pub entry: Option<String>,
    /// Value of `SADDLE_KEY`: the secret of a key.
    pub key: Option<String>,
}

impl CliEnvironment {
    /// Reads the variables of this process; an empty variable counts as not set.
    #[must_use]
    pub fn from_process() -> Self {
        let read = |name| std::env::var(name).ok().filter(|value: &String| !value.is_empty());
        Self { entry: read("SADDLE_ENTRY"), key: read("SADDLE_KEY") }
    }
}

impl std::fmt::Debug for CliEnvironment {
    /// Leaves the secret out.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("CliEnvironment").field("entry", &self.entry).finish_non_exhaustive()
    }
}
