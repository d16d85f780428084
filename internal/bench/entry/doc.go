// Package entry measures what the entry server costs on the path of a request.
//
// Run sends the same requests over loopback to a stand-in backend server, in turns directly
// and through an entry server in the same process. What the entry server costs is the
// difference between the two in time, processor time and allocations; client and backend
// server take part in both. Grants come from a fixed list, so that the dispatcher's share is
// not included.
package entry
