// Package usagecap divides the usage caps of teams among the dispatchers that grant their requests and the hosts that
// place requests without a dispatcher. It holds the arithmetic only; the caller passes the time, the limits and the
// reports.
//
// # How a cap acts
//
// Each dispatcher (part) counts what it admits, and learns from reports what the others have admitted. A request is
// admitted if three conditions hold:
//
//   - a bucket for the whole cap, with the cap's rate and burst and part of the overage and the slack, has a token;
//   - the part has not used up its credit: the number of requests that it may admit before all other parts have
//     confirmed a report of them;
//   - the window has room, even if every other part has used up its credit since its last report.
//
// Most of the credit is divided equally; the rest, and a rate for the time between reports, follows the demand. A part
// counts for itself the smallest demand that some live part may still know of it, so the shares of all parts sum to at
// most 1 whatever the delay of reports. A cap that is lowered applies at once; a raised one adds no tokens.
//
// A refused caller is told when it finds a token if no one else takes it, at most the window. Callers that are refused
// one after another are told times one after another.
//
// # Limits
//
// With few requests per part the credit of one part may be used up by chance although the team is below its cap. At a
// rate of 20, a burst of 20, the default bound and ten parts, simulations with random arrivals at 75 % of the cap refused
// 0.4 % when the requests were spread, none when one part got all, and 0.6 % when they moved between parts within 2 s. Of
// a burst of 20 at one idle part, 3 parts admit all at once; with more parts the rest is told to come back. If the
// credit of a part is less than one request (about 80 parts at this cap), its first request is admitted by chance, and
// later ones as the part gets a share, after about half a second.
//
// # Failures
//
//   - Reports that are late: less is reserved for growth, more for what is not known; the bound holds for delays of up to
//     500 ms.
//   - A part that is silent: the others use their credits at the rate of their shares. After 2 s they count on it keeping
//     to an equal share, 1/n of the cap, and divide the rest. A part that has lost all others admits 1/n of the cap.
//   - Parts that reach each other only through a third part state different numbers of parts; after 750 ms each of them
//     keeps to 1/n.
//   - A part that is replaced: the successor knows no counts. It starts with its share of a quarter of the overage and
//     the slack, and a quarter of an equal share until all others have confirmed a report, and allows for a full window
//     before its start.
//   - A part that is removed counts until it has been silent for 2 s; an unknown part counts while it reports.
//
// # Hosts without a dispatcher
//
// A host that has lost its dispatcher admits, for each team, rate x share / hosts requests per second. The burst is
// (burst + half of overage and slack) x share / hosts for a team that was last reported as scarce; a fraction of a
// request is admitted by chance. Any other team has a burst of at least 2 requests on each such host, so that ordinary
// use is not refused: if it exceeds its cap while hosts are cut off, each of them may admit up to 2 requests more than
// its part. If the number of hosts is not known, 1,500 is assumed. Ledgers leave out the part of those hosts when they
// are told of them (SetHosts); until then the hosts' part is admitted twice.
//
// # Cost
//
// Estimates, from the rule that a report names a team if its count has changed or its demand matters, 4 reports per
// second to each other part, and 25 bytes per team. With 78 teams that all use all of 6 parts: 20 reports/s and 39 KB/s
// sent by each part, 120 reports/s and 234 KB/s altogether. With 60,000 active teams that use 5 of 1,000 parts each, on 14
// control hosts that bundle the reports of their parts: 52 messages/s and 28 MB/s sent by each host, 390 MB/s altogether,
// and each ledger holds all teams in about 40 MB. That is too much: at that size a ledger has to serve a whole control
// host, and reports about a team have to go only to where it is used.
package usagecap
