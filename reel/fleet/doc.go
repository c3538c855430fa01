// Package fleet implements the protocol between instances as a state machine without clock or sockets. It combines
// membership, the lease to accept new work, the choice of the configuration in force, the replication of published
// values and the spread of quarantine marks and of targets that are leaving.
package fleet
