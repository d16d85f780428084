// Package configuration defines the replicated configuration: the document, its validation, the
// typed changes and the compiled snapshot that is used to serve requests.
//
// # Operation
//
// The configuration is one document with a revision. Operators change it with typed requests
// that contain the expected revision. A change is validated against the document at that
// revision; the same document and change give the same verdict on every control replica. Every
// process applies the accepted entries in the order of revisions and compiles the result into
// an immutable Snapshot. The snapshot is swapped behind an atomic pointer (Holder), so that a
// request reads one revision from start to end without locks.
//
// # Settings
//
// The document has the sections data_centres, hosts, services, routes and teams. In its JSON
// form unknown fields are errors, and priorities and roles have short names such as "urgent"
// and "node". The team "default" sets the quota that all unknown teams share.
//
// # Refusals
//
// A change is refused with a Rejection that contains the field and the remedy. The reasons are
// references to data centres, services or hosts that do not exist, two routes that match the
// same requests, values out of range, a service without a node in its data centres, and a
// change of an existing service's data centres. A snapshot that is not newer than the one in
// force is never put in force.
//
// Package feed distributes revisions, package control is the log at the control replicas, and
// package store keeps the revision in force at a node.
package configuration
