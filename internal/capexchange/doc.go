// Package capexchange exchanges among control hosts what their dispatchers admit and claim of the usage caps of teams.
//
// Every 250 ms a control host that dispatches a service sends one call to each other one that does, with the demand of the
// teams that its dispatchers see. The response names the dispatchers that have merged it; only then may the sender's
// part of a cap grow. Control hosts without a dispatcher send and receive nothing, and neither does anyone while no team
// has a usage cap. The state is kept in memory only: a dispatcher that begins anew starts with a part of the slack.
package capexchange
