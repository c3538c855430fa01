// Package ingress implements the HTTP handler for callers' requests: it reads a request, runs it at the targets of its
// route, and writes the answer. It selects targets and limits extra attempts for all requests of the process.
package ingress
