// Package durable measures the control replicas: the latency and throughput of claims with real files and
// syncs, the time of a restart, and the longest time without an accepted change while one replica is faulty.
//
// Run starts three replicas on loopback TCP in one process with files in a temporary folder. The figures
// therefore include the syncs of the disk that holds the folder and the processor time of all replicas and
// clients together, but no network latency.
//
// The changes are compared with a leader-based baseline, which exists only here: a stable leader with a
// lease, heartbeats every 50 ms and an election after 300 to 450 ms without a message from the leader. It
// uses the same transport and the same journal. It keeps no entries in memory and does not repair the logs of
// followers, so its figures are an upper bound for a complete implementation. In both designs each of three
// clients sends its next change when the last one was accepted. In the leaderless design the clients compete
// for the next revision, and a change that was not chosen is proposed again.
//
// The faulty replica is the leader of the baseline. In the leaderless design it is any replica, since all do
// the same work.
package durable
