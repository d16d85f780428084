// Package configuration holds the replicated configuration: the document, its
// validation, the typed changes and the compiled snapshot that requests use.
//
// # Operation
//
// The configuration is one document with a revision. Operators change it with typed
// requests that name the revision they expect. A change is validated against the
// document at that revision; the same document and change give the same verdict on
// every control replica. An accepted entry is applied to the document everywhere in
// the order of revisions, and the result is compiled into an immutable Snapshot. The
// snapshot is swapped behind an atomic pointer (Holder), so that a request reads one
// revision from start to end without locks.
//
// # Settings
//
// The document has the parts data_centres, hosts, services, routes and teams. In its
// JSON form unknown fields are errors, and priorities and roles have short names such
// as "urgent" and "node". The team "default" sets the quota of unknown teams.
//
// # Refusals
//
// A change is refused with a Rejection that names the field and the remedy: references
// to data centres, services or hosts that do not exist, two routes that match the same
// requests, values out of range, a service without a node in its data centres, and a
// change of an existing service's data centres. A snapshot older than the one in force
// is never put in force.
//
// Package feed passes revisions on, package control is the log at the control replicas,
// and package store keeps the revision in force at a node.
package configuration
