// Package lab starts a deployment as real processes on the local machine and injects faults into it.
package lab
