// Package lab starts a deployment as real processes on this machine and breaks parts of it.
package lab
