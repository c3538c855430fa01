// Package admit implements admission control at an entry: it decides which requests start, which wait in a queue and
// which are refused.
package admit
