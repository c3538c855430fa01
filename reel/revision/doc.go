// Package revision decides which revision of the published configuration is in force.
package revision
