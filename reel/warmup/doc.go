// Package warmup decides what load a target that is cold, or that may be cold, gets from this instance.
//
// It keeps what is known of each target's process: its registration, what its answers say, and events after which the process may
// be another one, or cold again. A target of a service that names a rate for cold targets gets this instance's part of that
// rate; any other one gets a share of its usual load that grows until it is warm.
package warmup
