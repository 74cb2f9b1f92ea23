//! Streams, stops, spans and metrics of daemons, shown with real processes.

mod centres;
mod observe;
mod script;
mod stop;
mod streams;
mod support;
mod wrong;
