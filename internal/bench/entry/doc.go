// Package entry measures the cost that the entry server adds to a request.
//
// Run sends the same requests over loopback to a stand-in backend server, alternately
// directly and through an entry server in the same process. The cost of the entry server
// is the difference between the two in latency, processor time and allocations, since both
// include the client and the backend server. Grants always name the same server, so the cost of
// the dispatcher is not included.
package entry
