//! Detection of shadowed routes: routes that can never match, because earlier routes match all of their requests.

use runtrack_model::Route;
use std::collections::{BTreeMap, HashMap};

/// Names of the routes that can never match, each with the names of the routes that shadow it.
pub(crate) fn shadowed(routes: &[Route]) -> BTreeMap<&str, Vec<&str>> {
    // First route by host pattern and prefix, so that the cost of a route depends on its own hosts and prefix, and not
    // on the number of routes before it.
    let mut first_by_pattern: HashMap<(Pattern, &str), usize> = HashMap::new();
    let mut shadowed_routes = BTreeMap::new();
    for (n, route) in routes.iter().enumerate() {
        let first_covering = |host: &str| {
            let prefix_ends = || route.prefix.char_indices().map(|(at, c)| at + c.len_utf8());
            let shorter_prefixes =
                |pattern| prefix_ends().filter_map(move |end| Some((pattern, route.prefix.get(..end)?)));
            let before = Pattern::of(host).covering().into_iter().flat_map(shorter_prefixes);
            before.filter_map(|key| first_by_pattern.get(&key).copied()).min()
        };
        let shadowing: Option<Vec<usize>> = route.hosts.iter().map(|host| first_covering(host)).collect();
        if let Some(mut shadowing) = shadowing.filter(|shadowing| !shadowing.is_empty()) {
            shadowing.sort_unstable();
            shadowing.dedup();
            shadowed_routes
                .insert(route.name.as_str(), shadowing.iter().map(|&i| routes[i].name.as_str()).collect());
        }
        for host in &route.hosts {
            first_by_pattern.entry((Pattern::of(host), &route.prefix)).or_insert(n);
        }
    }
    shadowed_routes
}

/// A host pattern.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Pattern<'h> {
    Any,
    Exact(&'h str),
    /// Hosts that end with this suffix, which begins with a dot.
    Suffix(&'h str),
    /// Hosts that begin with this prefix, which ends with a dot.
    Prefix(&'h str),
}

impl<'h> Pattern<'h> {
    fn of(host: &'h str) -> Pattern<'h> {
        match host {
            "*" => Pattern::Any,
            _ if host.starts_with("*.") => Pattern::Suffix(&host[1..]),
            _ if host.ends_with(".*") => Pattern::Prefix(&host[..host.len() - 1]),
            _ => Pattern::Exact(host),
        }
    }

    /// All patterns that match every host that this one matches, itself included.
    fn covering(self) -> Vec<Pattern<'h>> {
        let dots = |text: &'h str| text.match_indices('.').map(|(at, _)| at).collect::<Vec<_>>();
        let mut all = vec![Pattern::Any, self];
        if let Pattern::Exact(text) | Pattern::Suffix(text) = self {
            let suffix_starts = dots(text).into_iter().filter(|&at| at + 1 < text.len());
            all.extend(suffix_starts.map(|at| Pattern::Suffix(&text[at..])));
        }
        if let Pattern::Exact(text) | Pattern::Prefix(text) = self {
            let begins = dots(text).into_iter().filter(|&at| at > 0);
            all.extend(begins.map(|at| Pattern::Prefix(&text[..=at])));
        }
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route(name: &str, hosts: &[&str], prefix: &str) -> Route {
        Route {
            name: name.to_owned(),
            hosts: hosts.iter().map(|&host| host.to_owned()).collect(),
            prefix: prefix.to_owned(),
            class: "c".to_owned(),
            to: Vec::new(),
        }
    }

    /// Whether a route with the hosts and prefix of `before` shadows a later one with those of `then`.
    fn shadows(before: (&[&str], &str), then: (&[&str], &str)) -> bool {
        !shadowed(&[route("a", before.0, before.1), route("b", then.0, then.1)]).is_empty()
    }

    #[test]
    fn a_route_is_shadowed_by_wider_hosts_and_shorter_prefixes_before_it() {
        assert!(shadows((&["*"], "/"), (&["quotes.bank"], "/rate")));
        assert!(shadows((&["*.bank"], "/"), (&["quotes.bank"], "/")));
        assert!(shadows((&["*.bank"], "/"), (&["*.quotes.bank"], "/")));
        assert!(shadows((&["quotes.*"], "/r"), (&["quotes.bank"], "/rate")));
        assert!(shadows((&["quotes.*"], "/"), (&["quotes.bank.*"], "/")));
        assert!(
            !shadows((&["*.bank"], "/"), (&["bank"], "/")),
            "a suffix pattern needs a label before its dot"
        );
        assert!(!shadows((&["quotes.bank"], "/"), (&["*.bank"], "/")));
        assert!(!shadows((&["*"], "/rate"), (&["*"], "/")));
        assert!(!shadows((&["a"], "/"), (&["a", "b"], "/")), "it still matches host b");
    }

    #[test]
    fn several_routes_may_shadow_one_together() {
        let routes = [route("a", &["a"], "/"), route("b", &["b"], "/"), route("c", &["a", "b"], "/x")];
        assert_eq!(shadowed(&routes), BTreeMap::from([("c", vec!["a", "b"])]));
    }
}
