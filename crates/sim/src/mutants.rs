//! Mutants: faults that can be enabled in the code under test, to prove that the search detects them.

/// Mutants of the sidecar: name and effect.
pub const SIDECAR_MUTANTS: [(&str, &str); 17] = [
    ("reset-never-ran", "a request that was reset after its last byte counts as never sent"),
    ("late-never-ran", "an attempt that was given up counts as never sent"),
    ("unsaid-last-byte", "the last byte of a body is not noted as sent"),
    ("no-rest", "a connection is used again at once, whatever lies unread on it"),
    ("refuse-for-fail", "a failure is answered as a refusal"),
    ("count-not-lowered", "the module is not notified of an attempt that was reset"),
    ("lost-on-term", "SIGTERM ends the process with requests open"),
    ("late-deadline", "a request may take three times the client's time"),
    ("smuggled", "a head with two lengths is accepted"),
    ("drain-unheard", "a draining endpoint is treated as ready"),
    ("answered-twice", "a refusal or a failure is written twice"),
    ("end-unheard", "the end of a connection wakes no task"),
    ("keyed-for-ever", "a keyed request is repeated after its window"),
    ("watch-skips", "a watch starts one version too late"),
    ("move-unheard", "a reload that changes the discovery server is ignored"),
    (
        "sent-for-nobody",
        "a request is forwarded when its connection comes up, although its client has disconnected",
    ),
    ("silence-unheard", "a silent watch is never reopened"),
];

/// Calls `run` with this mutant enabled on the current thread.
pub fn with<T>(name: Option<&str>, run: impl FnOnce() -> T) -> T {
    runtrack_net::set_mutant(name);
    let done = run();
    runtrack_net::set_mutant(None);
    done
}
