// Package roster hosts the membership of the fleet on datagrams between instances.
package roster
