// Package platform implements a client that reads and watches values of the platform's configuration service. It does
// not read the platform's key-value store, whose client is in the module platform.
package platform
