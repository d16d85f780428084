// Package attach connects entry hosts that are not members of the gossip to the control hosts.
//
// In a fleet that discovers its hosts, only the control hosts gossip with each other, vote and
// dispatch. An entry host attaches to them: every HeartbeatEvery it tells one control host its address
// and readiness, and learns the control hosts, the dispatchers and the newest configuration revision.
// When that host does not answer within 400 ms, or does not know the successor of a lost dispatcher,
// it turns to the next one; a late answer still counts. So an idle entry host costs two small messages
// per second, however many hosts and backend servers there are, and the control hosts know of a lost
// entry host after DirectoryAge. Word of a dispatcher with a lower term is refused until no control
// host has named the higher one for three heartbeats.
//
// If more entry hosts are missed than heard, the control hosts have lost their links to them. The
// directory then goes on listing the missed ones for 30 s, since they still serve.
//
// The backend servers that an entry host may use while no dispatcher answers come with the stream of
// the dispatcher, as changes only.
//
// A backend server that drains or leaves tells a control host, which answers once the dispatcher of
// the service and a majority of the control group have taken it out. So the answer binds also if the
// host that gave it fails a moment later.
//
// Departures reach entry hosts with the answers to their heartbeats, so also those without a dispatcher. Each
// control host asks the members of the control group every 300 ms for the departures that it has not seen. One
// that has asked a majority knows all that were confirmed before, and says how old its knowledge is; an entry
// host turns to another control host if that is 0.8 s or older.
package attach
