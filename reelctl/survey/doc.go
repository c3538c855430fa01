// Package survey queries the operator interface of instances over HTTP, of one instance or of the whole fleet.
package survey
