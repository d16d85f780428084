// Package queue orders the requests of one service that wait for a free slot.
//
// It answers the load of more requests than slots: a flood of one team or of one priority, and work that can
// no longer be done in time. The queue decides who goes first, who is dropped when it is full, and how much
// work is ahead of a new request. It does not decide which server gets a request, or whether a request may
// enter; package dispatch does.
//
// # Behaviour that operators see
//
// Requests are served in order of priority. A lower priority keeps its configured minimum share of slot time
// under a flood of more urgent work: while it has queued requests, it is credited with its share of the slot
// time of each granted request, up to 8 requests, and goes first once the credit covers one.
//
// Within a priority, requests that can still meet their target latency go before the late ones, since a slot
// spent on late work would make the next request late as well. Teams take turns by weight (deficit round
// robin), and within a team the request with the earliest due time goes first. Team names are hashed into
// 1,024 buckets, with the term of the dispatcher as salt; teams that share a bucket share its turn until the
// next term.
//
// The queue of a priority holds 50 requests per announced slot, at least 256. When it is full, the team with
// the most queued requests loses its newest, which is refused with queue-full; while there are late requests,
// only those count. If that team is the one of the new request, the new request is refused.
package queue
