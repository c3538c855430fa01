// Package platform reads and watches the values that the platform's configuration service publishes.
package platform
