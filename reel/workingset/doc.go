// Package workingset decides which instances of a data centre callers are sent to.
//
// A fleet is larger than its load needs most of the time. If callers spread over all of it, each instance gets so few
// requests that it must open new connections for most of them, knows no latencies, and has no budget for retries. So
// callers are sent to the working set: as few instances as can bear the load. All instances compute it alike from
// what each member announces, so that it needs no coordination.
package workingset
