//! Routes that can never match, because routes before them take all that they would.

use runtrack_model::Route;
use std::collections::{BTreeMap, HashMap};

/// For each route that can't match: its name, and the routes that are in its way.
pub(crate) fn shadowed(routes: &[Route]) -> BTreeMap<&str, Vec<&str>> {
    // By host pattern and prefix, the first route that has them; so a route costs what it says, and not what
    // stands before it.
    let mut first: HashMap<(Pattern, &str), usize> = HashMap::new();
    let mut found = BTreeMap::new();
    for (n, route) in routes.iter().enumerate() {
        let covers = |host: &str| {
            let ends = || route.prefix.char_indices().map(|(at, c)| at + c.len_utf8());
            let within = |pattern| ends().filter_map(move |end| Some((pattern, route.prefix.get(..end)?)));
            let before = Pattern::of(host).covering().into_iter().flat_map(within);
            before.filter_map(|key| first.get(&key).copied()).min()
        };
        let by: Option<Vec<usize>> = route.hosts.iter().map(|host| covers(host)).collect();
        if let Some(mut by) = by.filter(|by| !by.is_empty()) {
            by.sort_unstable();
            by.dedup();
            found.insert(route.name.as_str(), by.iter().map(|&i| routes[i].name.as_str()).collect());
        }
        for host in &route.hosts {
            first.entry((Pattern::of(host), &route.prefix)).or_insert(n);
        }
    }
    found
}

/// A host pattern.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Pattern<'h> {
    Any,
    Exact(&'h str),
    /// What ends so: from a dot on.
    Suffix(&'h str),
    /// What begins so: up to a dot.
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

    /// Every pattern that takes all hosts that this one takes, itself included.
    fn covering(self) -> Vec<Pattern<'h>> {
        let dots = |text: &'h str| text.match_indices('.').map(|(at, _)| at).collect::<Vec<_>>();
        let mut all = vec![Pattern::Any, self];
        if let Pattern::Exact(text) | Pattern::Suffix(text) = self {
            let ends = dots(text).into_iter().filter(|&at| at + 1 < text.len());
            all.extend(ends.map(|at| Pattern::Suffix(&text[at..])));
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

    /// Whether `before` alone shadows a route of these hosts and prefix.
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
        assert!(!shadows((&["*.bank"], "/"), (&["bank"], "/")), "a suffix wants something before its dot");
        assert!(!shadows((&["quotes.bank"], "/"), (&["*.bank"], "/")));
        assert!(!shadows((&["*"], "/rate"), (&["*"], "/")));
        assert!(!shadows((&["a"], "/"), (&["a", "b"], "/")), "it still matches for b");
    }

    #[test]
    fn several_routes_may_shadow_one_together() {
        let routes = [route("a", &["a"], "/"), route("b", &["b"], "/"), route("c", &["a", "b"], "/x")];
        assert_eq!(shadowed(&routes), BTreeMap::from([("c", vec!["a", "b"])]));
    }
}
