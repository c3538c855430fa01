// Package lab starts a deployment as real processes on the local machine and injects faults into it. It sends no load;
// package load does.
package lab
