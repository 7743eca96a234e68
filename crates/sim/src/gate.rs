//! A process that can be stopped where it is and go on later, as SIGSTOP and SIGCONT have it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Lets a process run, or not.
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
