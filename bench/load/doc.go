// Package load simulates the callers of a deployment and measures the answers that they receive.
package load
