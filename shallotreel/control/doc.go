// Package control runs the state machine of package fleet, which implements the protocol between instances. It drives
// the machine's clock, sends and receives its packets, watches the values that the platform publishes, and passes the
// resulting view of the fleet to the other parts of the process.
package control
