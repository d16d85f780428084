// Package dispatch decides which backend server receives each request of a service, and when.
//
// A Machine holds the state of one service at its dispatcher: the queues, the requests in flight, the
// evidence on each server and the budgets. It is a pure state machine: events go in together with the
// current time, and actions (grants, refusals, advice to retry) come out. Package dispatchrpc runs it.
//
// Package queue decides the order of the waiting requests, and package retrybudget how many retries and
// hedges are allowed.
//
// # Behaviour that operators see
//
// Requests are served in order of priority. A lower priority keeps its configured minimum share of slot
// time under a flood of more urgent work. Within a priority, teams take turns by weight, and within a team
// the request with the earliest due time (its target latency or its deadline) goes first. A server never
// has more requests in flight than its slots and connections.
//
// Servers in the data centre of the requesting node are preferred while one of them has a free slot; a
// server that has had no work for 1.2 s is treated like one of them.
//
// When the queue of a priority is full (50 requests per announced slot, at least 256), the team with the
// most queued requests loses its newest, which is refused with queue-full. deadline-unmeetable means that
// too little time is left. no-capacity means that no server may serve the request, or that a retry or hedge
// exceeds the budget of 10% of the granted first attempts plus 3 over 10 s. poison-request means that two
// servers crashed while they ran the same request in the last 10 min. Of the configured bounds on retries,
// a dispatcher uses 90% of the share and a third of the floor, so that two successive dispatchers together
// stay within them.
//
// Servers that stall, fail or are slow are ejected for 5 s and return after one successful canary: an
// idempotent request, unless the server has waited for 10 s, or the service got none for 1 s and 15% of its servers have
// no work. In this case servers in rotation that are doubted or avoided also get a request after 1.2 s without work. A canary fails if it takes longer than both half of the
// stall threshold and twice the 90th percentile of its kind of work. The stall threshold is the age at
// which a request without a response is overdue: usually 4 times the 95th percentile of the service, from
// 150 to 700 ms. While canaries fail, the server gets one every 1.5 s and no other work, so that the
// assessment of a server is never much older. While more than half of the capacity that may be out of
// rotation is out, the first canary comes after 1.5 s as well. A failing server that the minimum keeps in
// rotation gets a request after 1.2 s without work. At most a tenth of the granted requests, plus one per
// second, are canaries.
//
// A server that crashed is held for 1 s until its first canary; views show it as crashed, because it is not
// ejected. A server with unusual delays that do not justify an ejection is shown as suspect and avoided:
// for 5 s it gets work only once requests have been queued for 100 ms, unless more than a quarter of the
// servers have such delays. A server is also shown as suspect while it is suspected on weaker evidence,
// such as one error. It then gets work last, except for idempotent requests of other nodes, which confirm
// or clear the suspicion. Ejections never reduce the healthy capacity below the minimum of the service; a
// bad server that must stay is limited to one slot. Nothing is ejected while more than half of the servers
// look bad (overload), or while the evidence comes from one node or only from other data centres (a bad
// path, which is routed around).
//
// Each server has a failure rate that decays over time. After one failure the server gets non-idempotent
// work only when no other server has room; after two consecutive failures it is suspended for 3 s until its
// first canary. If the minimum forbids the suspension, the server is deprioritized: requests wait for
// another server while their time allows, until requests have been queued for 250 ms; from then on they are
// kept only from servers that fail nearly everything. Requests of the same kind (one route) share latency
// statistics. By these statistics, a request is refused as deadline-unmeetable when the work queued ahead
// of it leaves too little time. A server that names the rate of requests that it accepts from all nodes gets no
// more than that, spaced evenly, until a response names none; nodes report the rates to a new dispatcher, and a
// node without one sends its part of the rate. A server that asks a node to pause gets no requests from that node
// until then; a request that no server accepts before its deadline is refused at once. Shed responses pause a
// server unless most servers shed at once. Events reports each of these decisions for the log.
//
// # Settings
//
// The minimum healthy capacity, the minimum shares of the priorities, the default slots and connections of
// a server and the host set come from the accepted configuration (Config).
package dispatch
