// Package caller defines the HTTP protocol between callers and entry instances and implements a client of it.
package caller
