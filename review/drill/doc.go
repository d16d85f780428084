// Command drill plays one case of the second review against processes of the built program on loopback addresses.
//
// It starts control hosts and entry hosts with the command of the deploy file, stand-in instances and clients that follow
// the users' pages, and an operator that puts one configuration. It writes what was sent, answered and run to a record, and
// ends with status 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main
