// Package operator defines the HTTP protocol between operators' tools and instances.
package operator
