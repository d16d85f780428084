// Package inbound bounds what the clients of all HTTP listeners of a process may hold together.
//
// Two resources have a budget, each for the whole process and for one client address: open connections, and memory
// beyond the small allowance that the price of a connection covers. Memory is charged for the fields of a header while
// it arrives and until its request ends, for buffered request bodies and for the buffers of streams. Requests within
// the allowance take no lock.
//
// If a budget is used up, the address that holds most of it and has a waiting connection pays first: its connection that
// has waited longest for its client (an unfinished header or body, an unread response, no request) is closed. A memory
// reservation closes only connections that have waited for at least a second; a new connection closes none that has
// been sending a response for less than 100 ms. If there is none, the one that asks is refused: a connection is closed,
// an incomplete header is cut off, and a complete request gets 503 before anything has run.
//
// The limits follow from the memory and the descriptors of the process; the settings under "inbound" replace them. The
// metrics tarragonmux_inbound_refused_total and tarragonmux_inbound_closed_total count by budget, and
// tarragonmux_inbound_connections and tarragonmux_inbound_bytes show what is held.
package inbound
