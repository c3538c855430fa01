// Package entry implements the entry role of an instance: it receives the requests of callers over HTTP, applies
// admission control, sends sub-requests to the holders of the targets, and returns the merged answers. It also provides
// callers with the addresses of the instances to use.
package entry
