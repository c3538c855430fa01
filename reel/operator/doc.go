// Package operator holds the protocol between operators and instances.
package operator
