// Package roster runs the membership protocol of package member over UDP.
package roster
