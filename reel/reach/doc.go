// Package reach finds out whether an instance reaches targets at all.
//
// One silent target says nothing of the instance's own path. When no target has given a sign of life for too long, the
// Monitor asks for probes: connections to other targets. If none is accepted either, the path is lost. The Monitor does no
// I/O and reads no clock.
package reach
