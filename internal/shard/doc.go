// Package shard divides the work of a service among several dispatchers.
//
// A dispatcher of one shard owns a part of the backend servers and serves a part of the nodes, both selected
// by rendezvous hashing over all data centres. Every backend server and every node belong to exactly one
// shard. A node therefore keeps one stream for a service, uses its connections to few servers again, and the
// evidence on a server comes from the nodes that use it. A lost shard costs its share of the servers, until
// its nodes place requests alone or a new dispatcher is elected.
//
// Each shard has an election of its own, under the name of the service for a single shard and under
// service#index/count otherwise. The number of shards is part of the configuration: control hosts change it
// with the number of backend servers (see Keeper), and it comes into force with a revision that a majority
// decided. A voter that adopts the revision refuses renewals of former shards from then on, and grants no
// votes for new ones for the time of a lease. Majorities intersect, so the leases of former shards have ended
// before a new one begins, and a server never has two owners.
//
// Limits that apply to a service are divided among its shards: the minimum healthy slots and the floor of the
// retry budget evenly, while percentages and shares apply to each shard. Requests are ordered by priority
// within a shard.
package shard
