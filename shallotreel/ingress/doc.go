// Package ingress implements the HTTP handler for callers' requests: it reads a request, runs it at the targets of its
// route, and writes the answer. It selects targets and limits extra attempts for all requests of the process. Package
// entry handles the requests of an instance that sends sub-requests to holders.
package ingress
