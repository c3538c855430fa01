// Package platform implements a client that reads and watches values of the platform's configuration service.
package platform
