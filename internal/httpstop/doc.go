// Package httpstop stops an http.Server without cutting off requests that have arrived.
//
// http.Server.Shutdown resets connections that the kernel has accepted but the process has not, and closes a
// connection as idle until the whole header of its next request has been parsed. On a host with little processor
// time both last for milliseconds, and a stop under load cuts off requests. A Listener instead takes over what the
// kernel still holds, and closes a connection only while its server waits for a further request that has not begun to
// arrive. Up to three bytes behind a response may be a part of one that is dropped.
//
// A request that is on its way when its idle connection is closed is not read; the caller may repeat it. Callers
// should have been told before, by another list of endpoints and by Connection: close.
//
// The package has no settings.
package httpstop
