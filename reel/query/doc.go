// Package query implements the state machine of one request: it sends attempts to one target, or to one target of each
// shard, retries and hedges them, and merges the answers. The machine does no I/O and reads no clock: its host passes
// in the time, performs the returned actions and reports the end of each attempt. Package request implements requests
// that reach targets through their holders.
package query
