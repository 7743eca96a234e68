//! Splits Rust sources into words, distinguishing names from prose.

/// Where a word occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Part of an identifier: in code, between backticks in a comment, or written like an identifier in prose.
    Name,
    /// A comment or string literal.
    Prose,
}

/// A word in lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub line: usize,
    pub kind: Kind,
    pub text: String,
}

/// Lexical context of a character.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Context {
    Code,
    LineComment,
    /// Between backticks in a line comment.
    CodeSpan,
    /// In a block comment, with its nesting depth.
    BlockComment(usize),
    /// In a string literal that ends with a quote and so many hash signs; a literal that is not raw has escapes.
    Text {
        raw: bool,
        hashes: usize,
    },
}

/// All words of a source in order. `snake_case`, `CamelCase` and `UPPER_CASE` names are split.
pub fn words(source: &str) -> Vec<Word> {
    let mut reader = Reader { words: Vec::new(), line: 1, current: String::new(), kind: Kind::Name };
    let letters: Vec<char> = source.chars().collect();
    let mut context = Context::Code;
    let mut at = 0;
    while at < letters.len() {
        let (next, taken) = step(context, &letters[at..]);
        if next != context || taken > 1 {
            reader.end_name();
        }
        for letter in &letters[at..at + taken] {
            reader.take(*letter, if taken == 1 { kind_of(context) } else { Kind::Prose });
        }
        if taken > 1 {
            reader.end_name();
        }
        context = next;
        at += taken;
    }
    reader.end_name();
    reader.words
}

fn kind_of(context: Context) -> Kind {
    if matches!(context, Context::Code | Context::CodeSpan) { Kind::Name } else { Kind::Prose }
}

/// The context after the next characters, and how many characters to consume.
fn step(context: Context, rest: &[char]) -> (Context, usize) {
    match (context, rest) {
        (Context::Code, ['/', '/', ..]) => (Context::LineComment, 2),
        (Context::Code, ['/', '*', ..]) => (Context::BlockComment(1), 2),
        (Context::Code, ['\'', '\\', _, '\'', ..]) => (Context::Code, 4),
        (Context::Code, ['\'', _, '\'', ..]) => (Context::Code, 3),
        (Context::Code, ['"', ..]) => (Context::Text { raw: false, hashes: 0 }, 1),
        (Context::Code, ['r', '#' | '"', ..]) => raw_text(rest).unwrap_or((Context::Code, 1)),
        (Context::LineComment | Context::CodeSpan, ['\n', ..]) => (Context::Code, 1),
        (Context::LineComment, ['`', ..]) => (Context::CodeSpan, 1),
        (Context::CodeSpan, ['`', ..]) => (Context::LineComment, 1),
        (Context::BlockComment(depth), ['/', '*', ..]) => (Context::BlockComment(depth + 1), 2),
        (Context::BlockComment(1), ['*', '/', ..]) => (Context::Code, 2),
        (Context::BlockComment(depth), ['*', '/', ..]) => (Context::BlockComment(depth - 1), 2),
        (Context::Text { raw: false, .. }, ['\\', _, ..]) => (context, 2),
        (Context::Text { hashes, .. }, ['"', ..]) if rest[1..].starts_with(&vec!['#'; hashes]) => {
            (Context::Code, 1 + hashes)
        }
        _ => (context, 1),
    }
}

fn raw_text(rest: &[char]) -> Option<(Context, usize)> {
    let hashes = rest[1..].iter().take_while(|letter| **letter == '#').count();
    (rest.get(1 + hashes) == Some(&'"')).then_some((Context::Text { raw: true, hashes }, 2 + hashes))
}

struct Reader {
    words: Vec<Word>,
    line: usize,
    current: String,
    kind: Kind,
}

impl Reader {
    fn take(&mut self, letter: char, kind: Kind) {
        if letter.is_alphanumeric() || letter == '_' {
            if self.current.is_empty() {
                self.kind = kind;
            }
            self.current.push(letter);
            return;
        }
        self.end_name();
        self.line += usize::from(letter == '\n');
    }

    /// Splits the name that ends here. A word in prose that is written like an identifier counts as a name.
    fn end_name(&mut self) {
        let name = std::mem::take(&mut self.current);
        let parts = parts_of(&name);
        let kind = if parts.len() > 1 { Kind::Name } else { self.kind };
        let line = self.line;
        self.words.extend(parts.into_iter().map(|text| Word { line, kind, text }));
    }
}

/// Splits a name at underscores, before a capital after a small letter, and before the last capital of an acronym.
fn parts_of(name: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let letters: Vec<char> = name.chars().collect();
    for (at, letter) in letters.iter().enumerate() {
        let previous = at.checked_sub(1).map(|at| letters[at]);
        let is_next_small = letters.get(at + 1).is_some_and(|next| next.is_lowercase());
        let begins = letter.is_uppercase()
            && previous.is_some_and(|previous| {
                previous.is_lowercase() || (previous.is_uppercase() && is_next_small)
            });
        if begins || *letter == '_' {
            parts.push(String::new());
        }
        if *letter != '_'
            && let Some(part) = parts.last_mut()
        {
            part.extend(letter.to_lowercase());
        }
    }
    parts.retain(|part| !part.is_empty());
    parts
}
