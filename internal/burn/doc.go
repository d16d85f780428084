// Package burn counts how well the service levels are met and reports how fast
// their error budgets burn.
//
// A request is good if a backend server answered it with a status below 500 within
// the target latency of its priority. A refusal counts as bad, except where the
// caller itself is at fault, such as a malformed request or a reused key; those are
// counted by kind only. Counts are kept in buckets of 10 s for an hour and of 5 min
// for 3 days. On a host with a data folder they survive a restart; elsewhere the
// report says from when on the counts are complete.
//
// The verdicts follow the usual paired windows: a page when the budget burns at
// 14.4 times the sustainable rate over 1 h and over 5 min, a ticket at 6 times over
// 6 h and 30 min, or at the sustainable rate over 3 days and 6 h.
package burn
