// Package load plays the callers of a deployment and measures what they get.
package load
