// Package client calls the HTTP interfaces for operators, of one instance or of many concurrently.
package client
