//! Errors planted in the code under test, one line each, to prove that the search finds what it is for.

/// Each error's name, and what it does.
pub const SIDECAR_MUTANTS: [(&str, &str); 17] = [
    ("reset-never-ran", "a request that was reset after its last byte counts as never sent"),
    ("late-never-ran", "an attempt that was given up counts as never sent"),
    ("unsaid-last-byte", "the last byte of a body is not noted as sent"),
    ("no-rest", "a connection is used again at once, whatever lies unread on it"),
    ("refuse-for-fail", "what has failed is answered as refused"),
    ("count-not-lowered", "the module never hears of an attempt that was reset"),
    ("lost-on-term", "SIGTERM ends it with requests open"),
    ("late-deadline", "a request may take three times the client's time"),
    ("smuggled", "two lengths in one head are taken"),
    ("drain-unheard", "a drain is taken for readiness"),
    ("answered-twice", "a refusal or a failure is written twice"),
    ("end-unheard", "the end of a connection wakes nobody"),
    ("keyed-for-ever", "a keyed request is repeated beyond its window"),
    ("watch-skips", "a watch begins one version too late"),
    ("move-unheard", "discovery's move is not followed"),
    ("sent-for-nobody", "a request whose client has left is sent on when its connection comes up"),
    ("silence-unheard", "a watch that has fallen silent is never opened anew"),
];

/// Runs with this error switched on, on this thread.
pub fn with<T>(name: Option<&str>, run: impl FnOnce() -> T) -> T {
    runtrack_net::set_mutant(name);
    let done = run();
    runtrack_net::set_mutant(None);
    done
}
