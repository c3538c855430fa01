// Package control hosts the fleet's machine: it ticks it, carries its packets and watches the platform.
package control
