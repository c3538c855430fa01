// Package roster runs the membership protocol of package member over UDP. It replicates no configuration; package
// control, which runs the protocol of package fleet, does.
package roster
