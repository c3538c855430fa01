// Package survey asks all instances of a fleet for their status.
package survey
