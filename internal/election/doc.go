// Package election decides which node dispatches a service.
//
// The dispatcher holds a lease that a majority of the voting group of the service has granted. A vote
// binds its voter for 400 ms on the voter's monotonic clock. It is renewed every 150 ms, or after 75 ms if
// no majority responded. The candidate counts its lease from before it sent the request and ends it 10%
// early. The lease therefore ends before the votes do as long as two clocks differ by at most 5% in speed.
//
// A candidate first asks all voters who holds the lease, and requests votes only after a majority responded
// that nobody does. A node whose incoming messages are lost therefore takes no votes that it could not use.
// The candidate of rank k waits k × 50 ms, so that candidates rarely compete. It waits 150 ms more for each of
// up to two other services whose lease its node holds or campaigns for, so that leases spread over the nodes. A
// holder stops renewing the vote of a voter that did not respond to two renewals, so that the vote expires
// and another candidate can take over.
//
// With Options.Spares, nodes outside the voting group may hold leases too. Up to four of them are preferred for each
// service, by rendezvous hashing: they have the first ranks, and voters wait 150 ms more. A preferred node that is no
// voter learns from a voter when the vote of the holder would end, and asks again then.
//
// After a change of hosts a candidate needs a majority of the new group and of the previous one. A voter
// refuses requests that are based on another hosts revision than its own. A restarted voter grants no votes
// for one lease, since it may have forgotten a vote, and tells candidates so.
//
// Votes alone do not make a node the dispatcher: a voter names its candidate to others only once the
// candidate has shown, by a renewal or an announcement, that it holds the lease. Otherwise a node could
// record a failed candidate, whose term may be above that of the holder, and would then refuse the reports
// of the holder, since they have a lower term.
//
// A new dispatcher announces its lease to the members of the host set. Nodes that miss the announcement
// query a voter once a second, and five times a second while they know no dispatcher or after they lost the
// stream to it. A node whose dispatcher responds on its stream sends no queries.
//
// The package has no settings.
package election
