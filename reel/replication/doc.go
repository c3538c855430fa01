// Package replication replicates the marks of requests that crash targets between the instances.
//
// A new mark is sent to a few random peers at once and by each of them to others, several times. Each datagram between
// instances also carries a digest of all marks; an instance that sees another digest than its own answers with its marks,
// so that one that started, was cut off or lost datagrams catches up.
package replication
