// Package admit implements admission control at an entry, the part of an instance that receives the requests of callers:
// it decides which requests start, which wait in a queue and which are refused.
package admit
