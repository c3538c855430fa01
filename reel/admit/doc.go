// Package admit implements admission control at an entry, the part of an instance that receives the requests of
// callers: it decides which requests start, which wait in a queue and which are refused. The admission control for each
// target is in package holder. The ingress admits whole requests with a second kind of limit, which exists only while there
// is evidence of overload.
package admit
