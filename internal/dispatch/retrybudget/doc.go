// Package retrybudget limits the retries and hedges of a service.
//
// It answers the load of repeated requests: when servers fail or are slow, every retry and hedge is a second
// request to a service that may already be overloaded. Without a bound, the repetitions multiply the load
// and keep the service from recovering.
//
// # Behaviour that operators see
//
// Within 10 s, a Budget allows 10% of the granted first attempts plus 3, unless the configuration of the
// service sets other bounds. Retries and hedges do not count as first attempts, so they do not raise the
// bound. A retry or hedge beyond it is refused with no-capacity. Advice to hedge stops once half of
// the budget is used, so that enough is left for the retries of requests that have failed.
//
// Of the configured bounds, a dispatcher uses 90% of the share and a third of the floor, so that two
// successive dispatchers together stay within them. Hosts without a dispatcher (autonomous mode) divide the
// floor among them; a host that does not know how many there are has the share only.
package retrybudget
