// Package servers simulates targets: it serves their protocol, injects faults and counts the requests that they
// actually run.
package servers
