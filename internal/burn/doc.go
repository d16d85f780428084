// Package burn counts requests against the service levels and reports how fast
// the error budgets burn.
//
// A request is good if a backend server responded with a status below 500 within
// the target latency of its priority. A refusal counts as bad, unless the caller
// caused it, as with a malformed request or a reused key; such refusals are counted
// by kind only. Counts are kept in buckets of 10 s for an hour and of 5 min for
// 3 days. On a host with a data folder they survive a restart; on other hosts the
// report states the time from which the counts are complete.
//
// The verdicts follow the usual pairs of a long and a short window: a page if the
// budget burns at 14.4 times the sustainable rate over 1 h and over 5 min, a ticket
// at 6 times over 6 h and 30 min, or at the sustainable rate over 3 days and 6 h.
package burn
