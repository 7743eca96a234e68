//! Pauses and resumes a simulated process, like SIGSTOP and SIGCONT.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Pause switch of a process.
#[derive(Default)]
pub(crate) struct Gate {
    paused: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Gate {
    pub(crate) fn pause(&self, paused: bool) {
        self.paused.set(paused);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

pub(crate) struct Gated<F> {
    pub(crate) gate: std::rc::Rc<Gate>,
    pub(crate) inner: Pin<Box<F>>,
}

impl<F: Future> Future for Gated<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        if self.gate.paused.get() {
            *self.gate.waker.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}
