// Package attach connects entry hosts that do not take part in gossip to the control hosts.
//
// In a fleet that discovers its hosts, only the control hosts gossip with each other, vote and
// dispatch. An entry host attaches to them: every HeartbeatInterval it sends its address and readiness
// to one control host. The response carries the control hosts, the dispatchers and the newest
// configuration revision. If that host does not respond within 400 ms, or does not know the successor
// of a lost dispatcher, the entry host switches to the next one; a late response is still used. An idle
// entry host therefore costs two small messages per second, however many hosts and backend servers
// there are, and the directory drops a lost entry host after HeartbeatExpiry. A dispatcher with a lower
// term is ignored until no control host has named the higher term for three heartbeats.
//
// If more entry hosts are missed than heard, the control hosts have lost their links to them. The
// directory then continues to list the missed ones for 30 s, since they still serve.
//
// The backend servers that an entry host may use while no dispatcher responds arrive on the stream of
// the dispatcher, which sends only changes.
//
// A backend server that drains or leaves announces this to a control host, which responds once the
// dispatcher of the service has taken the server out of use and the departure is on the disks of a majority of
// the control group. The confirmation therefore holds even if all hosts fail immediately afterwards, and as many
// disks with them as leave a majority. Departures that come while a disk syncs share its next sync. A control host
// whose disk is slow, full or fails counts towards no majority until it has written its departures; one that has lost
// its disk, until it has learned them from a majority of the others. Departures are kept for a minute. One call
// to each control host is in progress at a time; departures that come in the meantime go together in the
// next one, and a control host that responds late gets more time. A draining server repeats its
// announcement until it ends; a control host then tells only those that are not known to have recorded the
// departure.
//
// Departures reach entry hosts in the responses to their heartbeats, and so also entry hosts without a
// dispatcher. Each control host polls the members of the control group every 300 ms for the departures
// that it has not seen. A control host that has polled a majority knows all departures that were
// confirmed before, and reports how old its knowledge is. An entry host switches to another control
// host if that age is 0.8 s or more.
package attach
