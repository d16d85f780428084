// Package dispatch decides which request of a service goes to which backend server, and when.
//
// A Machine holds the state of one service at its dispatcher: the queues, the requests in flight,
// the evidence on each server and the budgets. It is a pure state machine: events come in with the
// time, and actions (grants, refusals, advice to retry) come out. Package dispatchrpc runs it.
//
// # What operators see
//
// Requests are served in order of priority. A lower priority keeps its configured minimum share of
// slot time while more urgent work floods. Within a priority, teams are served in turn by weight,
// and within a team the earliest deadline goes first. A server never has more requests in flight
// than its slots and connections.
//
// Servers in the data centre of the caller's node come first while one has room; a server without work for
// 1.2 s counts as one of them.
//
// Requests are refused with queue-full when the queue of their priority is full (50 requests per
// announced slot, at least 256); the team with the most queued requests loses its newest.
// deadline-unmeetable means that too little time is left; no-capacity that no server may serve the
// request, or that a retry or hedge exceeds the budget of 10% of the granted requests plus 3 over
// 10 s; poison-request that two servers crashed while they ran the same request in the last 10 min.
// Of configured bounds on retries a dispatcher uses 90% of the share and a third of the rest, so that
// two dispatchers in turn keep them.
//
// Servers that stall, fail or are slow are ejected for 5 s and return after one successful canary, a
// request that is idempotent unless none came for 10 s. A canary fails beyond half of the stall
// threshold and twice what most requests of its kind take. While canaries fail, there is one each 1.5 s
// and no more work, so that the verdict on a server is never much older. While more than half of the
// capacity that may be out is out, the first canary comes after 1.5 s, too, and a failing server that the
// minimum keeps in rotation gets a request after 1.2 s without work. At most a tenth of the granted
// requests and one a second more are canaries. A server that crashed is held for 1 s until its first
// canary; views show it as crashed, since it is not ejected. A server with unusual delays, too few for an
// ejection, is shown as suspect and gets work only once requests have waited for 100 ms, for 5 s, unless
// more than a quarter of the servers have such delays. Ejections
// never take the healthy capacity below the minimum of the service; a bad server that must stay
// gets one slot. Nothing is ejected while more than half of the servers look bad (overload), or
// while the evidence comes from one node or from other data centres only (a bad path, which is
// routed around).
//
// A server's recent failures count with a weight that fades. After one failure it gets work that must
// not repeat only when no other has room; after two in a row it is suspended for 3 s until its first
// canary. If the minimum forbids that, it is spared: requests wait for another server while their time
// allows, until requests have waited for 250 ms; then only servers that fail nearly everything are
// spared. Requests of the same kind (one route) share a record of their times; by it a request is refused
// as deadline-unmeetable when the work that waits before it leaves too little time. Shed answers pause a
// server unless most servers shed at once. Events names each of these decisions for the log.
//
// # Settings
//
// The minimum healthy capacity, the minimum shares of the priorities, the default slots and
// connections of a server and the host set come from the accepted configuration (Config).
package dispatch
