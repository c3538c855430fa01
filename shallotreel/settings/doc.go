// Package settings reads what one process is told at its start.
package settings
