// Package survey queries the operator interface of instances that answer requests themselves, of one instance or of the whole
// fleet.
package survey
