// Package publication keeps the newest version of each value that the platform publishes, and encodes updates
// that bring the store of another instance to the same versions.
package publication
