// Package operator defines the HTTP protocol between operators' tools and instances. It contains no client; package
// survey implements one.
package operator
