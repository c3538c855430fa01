// Package member implements the membership protocol of a fleet of instances: a
// SWIM-style failure detector that sends direct and indirect pings, and spreads
// state changes by gossip.
//
// The protocol is a state machine without I/O. Its caller passes in the current
// time and the received messages, and sends the messages that each step returns.
package member
